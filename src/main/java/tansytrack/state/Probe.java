package tansytrack.state;

import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.wire.Http;
import tansytrack.wire.HttpLine;
import tansytrack.wire.Junk;

/** A request for an engine's load report. */
final class Probe implements HttpLine.Caller {

  private static final int TRIES = 2;

  private final Manager manager;
  private final EngineLines engine;
  private HttpLine line;
  private Timers.Timer timer;
  private boolean over;
  private int tries;

  Probe(Manager manager, EngineLines engine) {
    this.manager = manager;
    this.engine = engine;
  }

  /** Sends the request. The end of the probe is reported later, never within this method. */
  void start(Timers timers, long within) {
    line = engine.call("GET", "/stats", this);
    timer = timers.at(timers.now() + within, this::late);
    if (line == null) {
      manager.later(() -> end(Outcome.NEVER_SENT, null));
    }
  }

  @Override
  public void answered(Http.Answer answer) throws Junk {
    LoadReport report = manager.report(answer);
    engine.heard();
    end(
        answer.status() == 200 ? Outcome.OK : answer.status() == 503 ? Outcome.FULL : Outcome.ERROR,
        report);
  }

  /**
   * Retries after a malformed response or a broken connection, as one such failure says nothing about
   * the engine. The time limit of the probe stays the same.
   */
  @Override
  public void failed(HttpLine.Failure why) {
    boolean again = why == HttpLine.Failure.BROKEN || why == HttpLine.Failure.UNSENT;
    line = again && tries++ < TRIES ? engine.call("GET", "/stats", this) : null;
    if (line == null) {
      end(why == HttpLine.Failure.BROKEN ? Outcome.RESET : Outcome.UNREACHED, null);
    }
  }

  private void late() {
    if (!over) {
      if (line != null) {
        line.drop();
      }
      end(Outcome.TIME_OUT, null);
    }
  }

  private void end(Outcome outcome, LoadReport report) {
    if (!over) {
      over = true;
      timer.cancel();
      manager.probed(engine, outcome, report);
    }
  }
}
