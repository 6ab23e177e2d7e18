package tansytrack.settings;

/** What was given cannot be used; the message says where and why. */
public class Unusable extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public Unusable(String what) {
    super(what);
  }
}
