package tansytrack.settings;

/** What was given cannot be used; the message says where and why. */
public class InvalidInputException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public InvalidInputException(String what) {
    super(what);
  }
}
