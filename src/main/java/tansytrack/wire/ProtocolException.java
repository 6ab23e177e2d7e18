package tansytrack.wire;

/** Signals that a peer sent something that its protocol does not allow. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  private final boolean truncated;

  /**
   * Creates an exception for a message that violates the protocol. The text says how; it may be
   * sent to clients, and its beginning labels a counter.
   */
  public ProtocolException(String what) {
    this(what, false);
  }

  /**
   * Creates an exception for a message that violates the protocol.
   *
   * @param cutOff whether the message is valid so far and only ends too early
   */
  public ProtocolException(String what, boolean cutOff) {
    super(what, null, false, false);
    this.truncated = cutOff;
  }

  /** Returns a counter label: the message without the numbers and values of the single case. */
  String counterLabel() {
    StringBuilder reason = new StringBuilder();
    for (char c : getMessage().toCharArray()) {
      if (c == ':' || c == '\'' || Character.isDigit(c)) {
        break;
      }
      reason.append(c);
    }
    String plain = reason.toString().strip().replace(' ', '_');
    return plain.isEmpty() ? "other" : plain;
  }

  /** Whether the message is valid so far and only ends too early. */
  public boolean truncated() {
    return truncated;
  }
}
