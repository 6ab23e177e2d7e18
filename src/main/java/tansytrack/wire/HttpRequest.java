package tansytrack.wire;

import java.util.function.Supplier;

/**
 * A request to an HTTP server.
 *
 * @param headers further header fields as complete lines, each with its line end; determined when
 *     the request is written, as its connection may be established much later
 * @param deliveredIfAbandoned whether the request is still delivered if its connection is closed
 *     before the response. Otherwise the bytes that have not reached the server's machine by then
 *     are discarded, so that the request cannot arrive after it was given up.
 */
public record HttpRequest(
    String method,
    String path,
    Supplier<String> headers,
    byte[] body,
    boolean deliveredIfAbandoned) {

  private static final byte[] EMPTY_BODY = new byte[0];

  /** Returns a GET request. */
  public static HttpRequest get(String path) {
    return new HttpRequest("GET", path, HttpRequest::noHeaders, EMPTY_BODY, false);
  }

  /** Returns a POST request. */
  public static HttpRequest post(String path, Supplier<String> headers, byte[] body) {
    return new HttpRequest("POST", path, headers, body, false);
  }

  /** Returns a PUT request. */
  public static HttpRequest put(String path, byte[] body) {
    return new HttpRequest("PUT", path, HttpRequest::noHeaders, body, false);
  }

  /** Returns a DELETE request, which is delivered even if it is abandoned. */
  public static HttpRequest delete(String path) {
    return new HttpRequest("DELETE", path, HttpRequest::noHeaders, EMPTY_BODY, true);
  }

  private static String noHeaders() {
    return "";
  }
}
