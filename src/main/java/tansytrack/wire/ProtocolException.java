package tansytrack.wire;

/** A peer said what its protocol does not allow. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  private final boolean truncated;

  /** A message that breaks the protocol; the text names how. */
  public ProtocolException(String what) {
    this(what, false);
  }

  /** As above; cutOff: the message just ended too early. */
  public ProtocolException(String what, boolean cutOff) {
    super(what, null, false, false);
    this.truncated = cutOff;
  }

  /** What was wrong, without the figures and words of this one case. */
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

  /** Is all right as far as it goes, and only its end is missing? */
  public boolean truncated() {
    return truncated;
  }
}
