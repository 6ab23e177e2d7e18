package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import tansytrack.service.ServiceTest.Client;

/**
 * Which events prove that an attempt has ended at its engine, tested over real connections. The
 * next query of a key must not start while an earlier one of the key still runs.
 */
class AttemptEndTest extends ScriptedEngineFixture {

  private static final String RESULT =
      Rehearsal.response("200 OK", "Page-Count: 1\r\nWork-Ms: 5\r\nPeak-Mb: 2\r\n", "a\tb\tc\n");
  private static final String STILL_RUNNING = Rehearsal.response("202 Accepted", "", "");
  private static final String STILL_RUNNING_AND_CLOSE =
      Rehearsal.response("202 Accepted", "Connection: close\r\n", "");
  private static final String DELETE_CONFIRMED = "HTTP/1.1 204 No Content\r\n\r\n";
  private static final String FIRST_ID = "00000000000000a1";
  private static final String SECOND_ID = "00000000000000a2";
  private static final String OTHER_ID = "00000000000000b1";

  private Client client() throws IOException {
    Client client = new Client(running.address).startSession();
    resources.add(client);
    return client;
  }

  /**
   * Returns a client that has sent a query of the class that is serial by key; all share one key.
   */
  private Client serialClient(String id) throws IOException {
    Client client = client();
    client.send(Client.message('Q', Client.task("once", id, "ok")));
    return client;
  }

  /** Returns whether another query starts in that time; other requests are skipped. */
  private boolean queryStartsWithin(long ms) throws InterruptedException {
    long end = System.nanoTime() + ms * 1_000_000;
    for (long remainingMs = ms;
        remainingMs > 0;
        remainingMs = (end - System.nanoTime()) / 1_000_000) {
      ScriptedServer.Request request = engine.nextRequest(remainingMs);
      if (request != null && request.text().equals("POST /o")) {
        return true;
      }
    }
    return false;
  }

  /**
   * Answers each poll for the first query until the next query starts, and returns that request.
   * Some polls are on connections that the manager dropped before they were accepted.
   */
  private ScriptedServer.Request answerUntilNextQueryStarts() throws InterruptedException {
    while (true) {
      ScriptedServer.Request request = engine.nextRequest(TIMEOUT_MS);
      if (request.text().equals("POST /o")) {
        return request;
      }
      assertThat(request.text()).isEqualTo("GET /o/" + FIRST_ID + "/0");
      try {
        request.respond(RESULT);
      } catch (IOException e) {
        // the manager had dropped the connection
      }
    }
  }

  private static void awaitStats(Client client, String expected) throws IOException {
    long end = System.nanoTime() + 20_000_000_000L;
    while (!client.query("SHOW STATS").contains(expected)) {
      assertThat(System.nanoTime()).as("waiting for %s", expected).isLessThan(end);
    }
  }

  /**
   * A draining engine refuses new connections, but completes its queries. They are polled on
   * connections that are open, interleaved with the other requests there.
   */
  @Test
  void queriesArePolledOnOpenConnectionsWhenNewOnesAreRefused() throws Exception {
    Client first = serialClient(FIRST_ID);
    expectRequest("POST /o").respond(STILL_RUNNING);
    ScriptedServer.Request poll = expectRequest("GET /o/" + FIRST_ID + "/0");
    Client other = client();
    other.send(Client.message('Q', Client.task("safe", OTHER_ID, "ok")));
    expectRequest("POST /o").respond(STILL_RUNNING);
    ScriptedServer.Request otherPoll = expectRequest("GET /o/" + OTHER_ID + "/0");
    engine.refuseConnections();
    poll.respondAndClose(STILL_RUNNING_AND_CLOSE);
    awaitStats(client(), "calls.REFUSED,1;");
    otherPoll.respond(STILL_RUNNING);
    ScriptedServer.Request repeatedRequest = expectRequest("GET /o/" + FIRST_ID + "/0");
    assertThat(repeatedRequest.connection()).isSameAs(otherPoll.connection());
    repeatedRequest.respond(STILL_RUNNING);
    expectRequest("GET /o/" + OTHER_ID + "/0").respond(STILL_RUNNING);
    expectRequest("GET /o/" + FIRST_ID + "/0").respond(RESULT);
    assertThat(first.readAnswer()).endsWith("SELECT 1");
    expectRequest("GET /o/" + OTHER_ID + "/0").respond(RESULT);
    assertThat(other.readAnswer()).endsWith("SELECT 1");
  }

  /** A refused connection proves that this request did not run, not that the query has ended. */
  @Test
  void aRefusedConnectionDoesNotProveTheEndOfAQuery() throws Exception {
    Client first = serialClient(FIRST_ID);
    expectRequest("POST /o").respond(STILL_RUNNING);
    ScriptedServer.Request poll = expectRequest("GET /o/" + FIRST_ID + "/0");
    Client second = serialClient(SECOND_ID);
    engine.refuseConnections();
    poll.respondAndClose(STILL_RUNNING_AND_CLOSE);
    awaitStats(client(), "calls.REFUSED,3;");
    engine.listenAgain();
    expectRequest("GET /o/" + FIRST_ID + "/0").respond(RESULT);
    assertThat(first.readAnswer()).endsWith("SELECT 1");
    expectRequest("POST /o").respond(RESULT);
    assertThat(second.readAnswer()).endsWith("SELECT 1");
  }

  /** A DELETE that was not delivered is repeated, and the key's next query waits for its answer. */
  @Test
  void aCancellationIsRepeatedUntilItIsDelivered() throws Exception {
    Client first = serialClient(FIRST_ID);
    expectRequest("POST /o").respond(STILL_RUNNING);
    expectRequest("GET /o/" + FIRST_ID + "/0");
    Client second = serialClient(SECOND_ID);
    engine.refuseConnections();
    first.close();
    // One for the POST, and at least two for DELETE, each on a connection of its own.
    awaitStats(client(), "connections.to_engines,3;");
    engine.listenAgain();
    ScriptedServer.Request delete = expectRequest("DELETE /o/" + FIRST_ID);
    assertThat(queryStartsWithin(100)).as("the next query of the key begins").isFalse();
    delete.respond(DELETE_CONFIRMED);
    expectRequest("POST /o").respond(RESULT);
    assertThat(second.readAnswer()).endsWith("SELECT 1");
  }

  /**
   * An engine that accepts connections but does not answer may be suspended. It then drops no query
   * after a time, so elapsed time proves no end, also after it stops accepting connections.
   */
  @Test
  void elapsedTimeProvesNoEndAtASuspendedEngine() throws Exception {
    Client first = serialClient(FIRST_ID);
    expectRequest("POST /o").respond(STILL_RUNNING);
    expectRequest("GET /o/" + FIRST_ID + "/0");
    // Without an answer the request is repeated, on a new connection.
    expectRequest("GET /o/" + FIRST_ID + "/0");
    Client second = serialClient(SECOND_ID);
    engine.fillAcceptQueue();
    assertThat(queryStartsWithin(6000)).as("the next query of the key begins").isFalse();
    engine.startAccepting();
    ScriptedServer.Request nextQuery = answerUntilNextQueryStarts();
    assertThat(first.readAnswer()).endsWith("SELECT 1");
    nextQuery.respond(RESULT);
    assertThat(second.readAnswer()).endsWith("SELECT 1");
  }

  /**
   * A suspended engine that accepts no new connections looks like a machine that is partitioned
   * from the network. The next query of a key waits in that case too.
   */
  @Test
  void elapsedTimeProvesNoEndWithoutNewConnections() throws Exception {
    Client first = serialClient(FIRST_ID);
    expectRequest("POST /o").respond(STILL_RUNNING);
    expectRequest("GET /o/" + FIRST_ID + "/0"); // on the open connection; it stays unanswered
    engine.fillAcceptQueue();
    Client second = serialClient(SECOND_ID);
    assertThat(queryStartsWithin(6000)).as("the next query of the key begins").isFalse();
    engine.startAccepting();
    ScriptedServer.Request nextQuery = answerUntilNextQueryStarts();
    assertThat(first.readAnswer()).endsWith("SELECT 1");
    nextQuery.respond(RESULT);
    assertThat(second.readAnswer()).endsWith("SELECT 1");
  }

  /** A crashed process resets its connections and refuses new ones: its queries have ended. */
  @Test
  void aCrashedProcessEndsItsQueries() throws Exception {
    Client first = serialClient(FIRST_ID);
    expectRequest("POST /o").respond(STILL_RUNNING);
    expectRequest("GET /o/" + FIRST_ID + "/0");
    long crashedAt = System.nanoTime();
    engine.crash();
    assertThat(first.readAnswer()).startsWith("58000");
    assertThat(System.nanoTime() - crashedAt)
        .as("less than the 4.4 s after which a query without polls ends")
        .isLessThan(2_000_000_000L);
  }
}
