package tansytrack.wire;

/** The codes at the beginning of a PostgreSQL startup message. */
final class StartupCodes {

  /** Version 3.0 of the protocol. */
  static final int PROTOCOL_VERSION_3 = 3 << 16;

  /** A request to cancel the query of another session. */
  static final int CANCEL_REQUEST = 80877102;

  /** A request for TLS. */
  static final int SSL_REQUEST = 80877103;

  /** A request for GSSAPI encryption. */
  static final int GSSENC_REQUEST = 80877104;

  private StartupCodes() {}
}
