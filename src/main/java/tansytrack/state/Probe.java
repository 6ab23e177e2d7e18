package tansytrack.state;

import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.wire.HttpCodec;
import tansytrack.wire.HttpConnection;
import tansytrack.wire.ProtocolException;

/** A question for an engine's load. */
final class Probe implements HttpConnection.ResponseHandler {

  private static final int MAX_RETRIES = 2; // further ones

  private final Manager manager;
  private final EngineConnections engine;
  private HttpConnection connection;
  private Timers.Timer timer;
  private boolean ended;
  private int retries;

  Probe(Manager manager, EngineConnections engine) {
    this.manager = manager;
    this.engine = engine;
  }

  /** Asks; its end comes later, never within this call. */
  void start(Timers timers, long within) {
    connection = engine.send("GET", "/stats", this);
    timer = timers.schedule(timers.now() + within, this::timedOut);
    if (connection == null) {
      manager.defer(() -> end(Outcome.NEVER_SENT, null));
    }
  }

  @Override
  public void responseReceived(HttpCodec.Response answer) throws ProtocolException {
    LoadReport report = manager.parseLoadReport(answer);
    engine.recordResponse();
    end(
        answer.status() == 200 ? Outcome.OK : answer.status() == 503 ? Outcome.FULL : Outcome.ERROR,
        report);
  }

  /**
   * One spoilt answer or reset connection says nothing of the engine: it is asked again, within the
   * same time.
   */
  @Override
  public void requestFailed(HttpConnection.Failure why) {
    boolean again = why == HttpConnection.Failure.BROKEN || why == HttpConnection.Failure.UNSENT;
    connection = again && retries++ < MAX_RETRIES ? engine.send("GET", "/stats", this) : null;
    if (connection == null) {
      end(why == HttpConnection.Failure.BROKEN ? Outcome.RESET : Outcome.UNREACHED, null);
    }
  }

  private void timedOut() {
    if (!ended) {
      if (connection != null) {
        connection.abort();
      }
      end(Outcome.TIME_OUT, null);
    }
  }

  private void end(Outcome outcome, LoadReport report) {
    if (!ended) {
      ended = true;
      timer.cancel();
      manager.probeEnded(engine, outcome, report);
    }
  }
}
