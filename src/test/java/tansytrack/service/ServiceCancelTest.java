package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansytrack.service.ServiceTest.Client;

/**
 * Tests tasks that are cancelled: by their client, at their time limit, or after an engine failed.
 *
 * <p>The statements control the answers of {@link StatementServer}: to "silent" it answers no poll;
 * to "late" it leaves one poll unanswered; with "restarted" it breaks the connection at the first
 * poll and then does not know the query; with "die" it crashes after two polls, and with "stalldie"
 * after leaving a poll unanswered before. The query class "safe" is idempotent, "once" is not.
 */
class ServiceCancelTest extends ServiceFixture {

  @Test
  void aCancelledTaskIsCancelledAtItsEngine() throws IOException, InterruptedException {
    try (Client client = new Client(address).startSession();
        Client other = new Client(address)) {
      client.send(Client.message('Q', Client.task("safe", "00000000000000c1", "silent")));
      engine.postAnswered.await();
      try (Client stranger = new Client(address)) {
        stranger.send(Client.startupMessage(80877102, client.processId, client.secretKey + 1));
        assertThat(stranger.readAnswer()).isEqualTo("closed");
      }
      other.send(Client.startupMessage(80877102, client.processId, client.secretKey));
      assertThat(other.readAnswer()).isEqualTo("closed");
      assertThat(client.readAnswer()).startsWith("57014");
      assertThat(engine.deleteReceived.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
      assertThat(client.query("")).isEqualTo("empty");
    }
    assertThat(engine.requests).contains("DELETE /o/00000000000000c1");
  }

  /**
   * Guards against a second copy of a query: the POST may be processed after the first DELETE, but
   * never after the second.
   */
  @ParameterizedTest(name = "{0}: {1} times")
  @CsvSource({"silent, 2", "late, 1"})
  void aQueryWithoutAnyAnswerIsCancelledTwice(String statement, int times)
      throws IOException, InterruptedException {
    engine.unansweredPoll = 3;
    try (Client client = new Client(address).startSession();
        Client other = new Client(address).startSession()) {
      client.send(Client.message('Q', Client.task("safe", "00000000000000c7", statement)));
      engine.postAnswered.await();
      Thread.sleep(100);
      client.socket.close();
      while (other.query("SHOW STATS").contains("engine.e.forwards.sockets,1;")) {
        Thread.sleep(10);
      }
    }
    assertThat(engine.requests.stream().filter(request -> request.startsWith("DELETE")))
        .hasSize(times);
  }

  /**
   * Guards against a second copy of a query: after a connection broke, neither the answer that the
   * query is unknown nor a single DELETE proves that the first copy does not run.
   */
  @Test
  void anUnknownQueryIsCancelledBeforeItIsSentAgain() throws IOException {
    try (Client client = new Client(address).startSession()) {
      assertThat(client.query(Client.task("safe", "00000000000000c3", "restarted")))
          .isEqualTo("SELECT 0");
      assertThat(client.query("SHOW STATS"))
          .contains("forwards.ended.RESET,1;")
          .doesNotContain("ERROR");
    }
    assertThat(
            engine.requests.stream()
                .filter(request -> !request.contains("/cmd/"))
                .map(request -> request.split(" ")[0]))
        .containsExactly("POST", "GET", "DELETE", "DELETE", "POST", "GET");
  }

  /**
   * Guards against a second copy of a query, and against a query of the same key that starts too
   * early. A refused connection means that the process died. If a request had stalled before, that
   * request may still be processed, so 2 s must pass.
   */
  @ParameterizedTest(name = "{0}: answered in under 1.5 s: {1}")
  @CsvSource({"die, true", "stalldie, false"})
  void anEngineThatDiesAfterAStalledRequestDelaysTheAnswer(String statement, boolean answeredSoon)
      throws IOException {
    try (Client client = new Client(address).startSession()) {
      long startedAt = System.nanoTime();
      assertThat(client.query(Client.task("once", "00000000000000c5", statement)))
          .startsWith("58000");
      assertThat(System.nanoTime() - startedAt < 1_500_000_000L).isEqualTo(answeredSoon);
    }
  }

  /**
   * Guards against two queries of one key at the same time: a forward that timed out may still run,
   * so it counts as open until it is cancelled.
   */
  @Test
  void aForwardThatTimesOutStaysOpenUntilItIsCancelled() throws IOException {
    engine.ignoresDelete = true;
    try (Client client = new Client(address).startSession()) {
      String task =
          Client.task("once", "00000000000000c6", "silent").replace("wait=20000", "wait=400");
      assertThat(client.query(task)).startsWith("58000 the time is up");
      String stats = client.query("SHOW STATS");
      assertThat(stats)
          .contains(
              "engine.e.forwards.module,1;", "engine.e.forwards.sockets,1;", "tasks.time_up,1;");
      while (stats.contains("engine.e.forwards.sockets,1;")) {
        stats = client.query("SHOW STATS");
      }
      assertThat(stats).contains("forwards.ended.TIME_OUT,1;");
    }
    // Two unanswered DELETE requests count as one cancellation. A second one follows, because the
    // engine has never answered for the query.
    assertThat(engine.requests.stream().filter(request -> request.startsWith("DELETE"))).hasSize(4);
  }

  @Test
  void aClientThatDisconnectsCancelsItsTask() throws IOException, InterruptedException {
    try (Client client = new Client(address).startSession()) {
      client.send(Client.message('Q', Client.task("once", "00000000000000c2", "silent")));
      engine.postAnswered.await();
    }
    assertThat(engine.deleteReceived.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
  }
}
