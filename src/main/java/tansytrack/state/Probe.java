package tansytrack.state;

import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.wire.HttpCodec;
import tansytrack.wire.HttpConnection;
import tansytrack.wire.HttpRequest;
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
  void start(Timers timers, long timeout) {
    connection = engine.send(HttpRequest.get("/stats"), this);
    timer = timers.schedule(timers.now() + timeout, this::timedOut);
    if (connection == null) {
      manager.defer(() -> end(Outcome.NEVER_SENT, null));
    }
  }

  @Override
  public void responseReceived(HttpCodec.Response response) throws ProtocolException {
    LoadReport report = manager.parseLoadReport(response);
    engine.recordResponse();
    end(
        response.status() == 200
            ? Outcome.OK
            : response.status() == 503 ? Outcome.FULL : Outcome.ERROR,
        report);
  }

  /**
   * Retries after a malformed response or a broken connection, as one such failure says nothing
   * about the engine. The time limit of the probe stays the same.
   */
  @Override
  public void requestFailed(HttpConnection.Failure failure) {
    boolean retry =
        failure == HttpConnection.Failure.BROKEN || failure == HttpConnection.Failure.UNSENT;
    connection =
        retry && retries++ < MAX_RETRIES ? engine.send(HttpRequest.get("/stats"), this) : null;
    if (connection == null) {
      end(failure == HttpConnection.Failure.BROKEN ? Outcome.RESET : Outcome.UNREACHED, null);
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
