package tansytrack.lab;

import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import tansytrack.settings.InvalidInputException;

/** Reading and validation of the input files and options of lab commands. */
final class LabInput {

  private LabInput() {}

  /** Reads a whole file. */
  static String read(String file) {
    try {
      return Files.readString(Path.of(file), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new InvalidInputException(file + ": cannot be read: " + e);
    }
  }

  /** Parses protobuf text format into a builder; the file's name stands in error messages. */
  static <B extends Message.Builder> B parse(String file, String text, B builder) {
    try {
      TextFormat.merge(text, builder);
      return builder;
    } catch (TextFormat.ParseException e) {
      throw new InvalidInputException(file + ':' + e.getMessage());
    }
  }

  /** Rejects a value outside of the bounds, naming the field, the value and what is allowed. */
  static void requireRange(String file, String field, double value, double min, double max) {
    if (!(value >= min && value <= max)) {
      throw new InvalidInputException(
          file
              + ": "
              + field
              + ": '"
              + ClaimEvaluator.format(value)
              + "'; allowed: "
              + ClaimEvaluator.format(min)
              + " to "
              + ClaimEvaluator.format(max));
    }
  }

  /** Parses a loopback address with a port; lab commands connect to this machine only. */
  static InetSocketAddress loopbackAddress(String field, String text) {
    int colon = text.lastIndexOf(':');
    try {
      InetSocketAddress address =
          new InetSocketAddress(
              text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
      if (!address.isUnresolved() && address.getAddress().isLoopbackAddress()) {
        return address;
      }
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      // Reported below.
    }
    throw new InvalidInputException(
        field + " '" + text + "'; allowed: a loopback address with a port, as in 127.0.0.1:6565");
  }
}
