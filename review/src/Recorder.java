import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, a line an event, with milliseconds since the start. */
final class Recorder implements AutoCloseable {
  private final PrintWriter out;
  private final long startedAt = System.nanoTime();

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  double now() {
    return (System.nanoTime() - startedAt) / 1e6;
  }

  synchronized void line(String format, Object... values) {
    out.printf("%9.1f  %s%n", now(), String.format(format, values));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
