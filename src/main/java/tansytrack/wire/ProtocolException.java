package tansytrack.wire;

/** Signals that a peer sent something that its protocol does not allow. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  private final boolean truncated;

  /**
   * Creates an exception for a message that violates the protocol. The text says how; it may be
   * sent to clients, and its beginning labels a counter.
   */
  public ProtocolException(String message) {
    this(message, false);
  }

  /**
   * Creates an exception for a message that violates the protocol.
   *
   * @param truncated whether the message is valid so far and only ends too early
   */
  public ProtocolException(String message, boolean truncated) {
    super(message, null, false, false);
    this.truncated = truncated;
  }

  /** Returns a counter label: the message without the numbers and values of the single case. */
  String counterLabel() {
    StringBuilder prefix = new StringBuilder();
    for (char c : getMessage().toCharArray()) {
      if (c == ':' || c == '\'' || Character.isDigit(c)) {
        break;
      }
      prefix.append(c);
    }
    String label = prefix.toString().strip().replace(' ', '_');
    return label.isEmpty() ? "other" : label;
  }

  /** Whether the message is valid so far and only ends too early. */
  public boolean truncated() {
    return truncated;
  }
}
