package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import tansytrack.service.ServiceTest.Client;

/**
 * Guards against a statement that runs twice although it must not: it comes again under its id,
 * behind its client's leaving or behind its answer.
 */
class RepeatedTaskTest extends ScriptedEngineFixture {

  private static final int QUIET_MS = 300;
  private static final String ID = "00000000000000a1";
  private static final String STATEMENT = "INSERT INTO sales_17.orders";

  private Client send(String queryClass, String id) throws Exception {
    Client client = new Client(running.address).startSession();
    resources.add(client);
    client.send(Client.message('Q', Client.task(queryClass, id, STATEMENT)));
    return client;
  }

  private static String result() {
    return Rehearsal.response("200 OK", "Page-Count: 1\r\n", "a\tb\tc\n");
  }

  @Test
  void aTaskWhoseClientLeftIsNotExecutedAgain() throws Exception {
    Client client = send("once", ID);
    expectRequest("POST /o").respond(Rehearsal.response("202 Accepted", "", ""));
    expectRequest("GET /o/" + ID + "/0");
    client.close();
    expectRequest("DELETE /o/" + ID).respond("HTTP/1.1 204 No Content\r\n\r\n");
    Thread.sleep(QUIET_MS); // until the cancelled attempt has ended
    assertThat(send("once", ID).readAnswer()).startsWith("58000");
    assertThat(engine.nextRequest(QUIET_MS)).isNull();
  }

  @Test
  void aTaskThatWasServedIsNotExecutedAgain() throws Exception {
    Client client = send("once", ID);
    expectRequest("POST /o").respond(result());
    assertThat(client.readAnswer()).endsWith("SELECT 1");
    assertThat(send("once", ID).readAnswer()).startsWith("58000");
    assertThat(engine.nextRequest(QUIET_MS)).isNull();
  }

  /** What no engine has executed may come again, and so may what is harmless to repeat. */
  @Test
  void otherTasksMayComeAgain() throws Exception {
    String full = Rehearsal.response("503 Full", "X-Not-Run: 1\r\n", "");
    Client refused = send("once", ID);
    expectRequest("POST /o").respond(full);
    expectRequest("POST /o").respond(full);
    assertThat(refused.readAnswer()).startsWith("53300");
    Client again = send("once", ID);
    expectRequest("POST /o").respond(result());
    assertThat(again.readAnswer()).endsWith("SELECT 1");
    for (int i = 0; i < 2; i++) {
      Client harmless = send("safe", "00000000000000a2");
      expectRequest("POST /o").respond(result());
      assertThat(harmless.readAnswer()).endsWith("SELECT 1");
    }
  }
}
