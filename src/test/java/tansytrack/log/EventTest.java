package tansytrack.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.RuntimeProvider;
import tansytrack.wire.Json;
import tansytrack.wire.ProtocolException;

class EventTest {

  @Test
  void aJsonLineHoldsEventFieldsMessageAndTraceAndCanBeRead() throws ProtocolException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new JsonLinesWriter(new PrintStream(out, true, StandardCharsets.UTF_8))
        .write(
            new LogEntry(
                RuntimeProvider.createTimestamp(),
                Thread.currentThread(),
                Map.of("event", "ledger.opened", "epoch", "3"),
                "x.Y",
                "m",
                "Y.java",
                1,
                null,
                Level.WARN,
                "a \"quoted\"\tline\nand \\ more",
                new IllegalStateException("why")));
    String line = out.toString(StandardCharsets.UTF_8);
    assertThat(line.strip().lines()).hasSize(1);
    Map<String, Object> read =
        Json.asObject(Json.parse(line.strip().getBytes(StandardCharsets.UTF_8)), "line");
    assertThat(read)
        .containsEntry("event", "ledger.opened")
        .containsEntry("epoch", "3")
        .containsEntry("level", "WARN")
        .containsEntry("message", "a \"quoted\"\tline\nand \\ more")
        .containsKey("time");
    assertThat((String) read.get("exception")).contains("IllegalStateException: why", "at ");
  }
}
