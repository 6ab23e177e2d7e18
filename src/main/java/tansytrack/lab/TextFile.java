package tansytrack.lab;

import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import tansytrack.settings.InvalidInputException;

/**
 * What the lab's files and options have in common: how they are read, and how their faults are
 * said.
 */
final class TextFile {

  private TextFile() {}

  static String text(String file) {
    try {
      return Files.readString(Path.of(file), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new InvalidInputException(file + ": cannot be read: " + e);
    }
  }

  /** Reads protobuf's text format. */
  static <B extends Message.Builder> B parsed(String file, String text, B into) {
    try {
      TextFormat.merge(text, into);
      return into;
    } catch (TextFormat.ParseException e) {
      throw new InvalidInputException(file + ':' + e.getMessage());
    }
  }

  static void bounded(String file, String field, double value, double least, double most) {
    if (!(value >= least && value <= most)) {
      throw new InvalidInputException(
          file
              + ": "
              + field
              + ": '"
              + Claims.shown(value)
              + "'; allowed: "
              + Claims.shown(least)
              + " to "
              + Claims.shown(most));
    }
  }

  /** An address with a port; the lab reaches nothing but this machine. */
  static InetSocketAddress loopback(String field, String text) {
    int colon = text.lastIndexOf(':');
    try {
      InetSocketAddress at =
          new InetSocketAddress(
              text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
      if (!at.isUnresolved() && at.getAddress().isLoopbackAddress()) {
        return at;
      }
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      // said below
    }
    throw new InvalidInputException(
        field + " '" + text + "'; allowed: a loopback address with a port, as in 127.0.0.1:6565");
  }
}
