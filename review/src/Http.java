import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The server side of HTTP/1.1, as far as the stand-ins need it. */
final class Http {
  record Request(String method, String path, Map<String, String> fields, String body) {}

  private Http() {}

  /** Reads one request; throws EOFException when the connection ends. */
  static Request read(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int tail = 0;
    while (tail != 0x0d0a0d0a) {
      int octet = in.read();
      if (octet < 0 || head.size() > 1 << 14) {
        throw new EOFException();
      }
      head.write(octet);
      tail = tail << 8 | octet;
    }
    String[] lines = head.toString(StandardCharsets.UTF_8).split("\r\n");
    String[] first = lines[0].split(" ");
    Map<String, String> fields = new TreeMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon > 0) {
        fields.put(
            lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
            lines[i].substring(colon + 1).strip());
      }
    }
    byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
    return new Request(first[0], first[1], fields, new String(body, StandardCharsets.UTF_8));
  }

  /** Returns a response; each of the fields ends with CRLF. */
  static byte[] response(String status, String fields, String body) {
    byte[] text = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 "
            + status
            + "\r\n"
            + fields
            + (status.startsWith("204") ? "" : "Content-Length: " + text.length + "\r\n")
            + "\r\n";
    return (head + body).getBytes(StandardCharsets.UTF_8);
  }
}
