package tansytrack.state;

import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.wire.HttpCodec;
import tansytrack.wire.HttpConnection;
import tansytrack.wire.ProtocolException;

/** A request for an engine's load report. */
final class Probe implements HttpConnection.ResponseHandler {

  private static final int MAX_RETRIES = 2;

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

  /** Sends the request. The end of the probe is reported later, never within this method. */
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
   * Retries after a malformed response or a broken connection, as one such failure says nothing
   * about the engine. The time limit of the probe stays the same.
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
