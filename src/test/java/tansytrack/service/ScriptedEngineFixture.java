package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Starts a workload manager before each test whose engine is controlled by the test. */
abstract class ScriptedEngineFixture {

  static final int TIMEOUT_MS = 60_000;

  /** Closed after the test. */
  final List<AutoCloseable> resources = new ArrayList<>();

  ScriptedServer engine;
  ServiceFixture.RunningManager running;

  @BeforeEach
  void start() throws Exception {
    engine = new ScriptedServer().startAccepting();
    ScriptedServer channel = new ScriptedServer().startAccepting();
    resources.add(engine);
    resources.add(channel);
    running =
        new ServiceFixture.RunningManager(
            ServiceTest.config(engine.address())
                .replace("'channel':'" + engine.address(), "'channel':'" + channel.address())
                .replace("'connect_timeout_ms':5000", "'connect_timeout_ms':1000"));
  }

  @AfterEach
  void stop() throws Exception {
    try {
      running.stop();
    } finally {
      for (AutoCloseable resource : resources) {
        resource.close();
      }
    }
  }

  /** Returns the engine's next request, which must be the given one. */
  ScriptedServer.Request expectRequest(String requestLine) throws InterruptedException {
    ScriptedServer.Request request = engine.nextRequest(TIMEOUT_MS);
    assertThat(request).as("a request in time").isNotNull();
    assertThat(request.text()).isEqualTo(requestLine);
    return request;
  }
}
