package tansytrack.settings;

/** Thrown when a configuration, file or input line is invalid; the message says where and why. */
public class InvalidInputException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception; the message names the invalid part and the reason. */
  public InvalidInputException(String message) {
    super(message);
  }
}
