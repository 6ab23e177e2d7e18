package tansytrack.state;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import tansytrack.wire.HttpCodec;
import tansytrack.wire.HttpConnection;
import tansytrack.wire.ProtocolException;

/**
 * Asks engines, after a start, what became of forwards that the life before left out: an engine
 * knows a query until it was not asked for in 2 s. One that has ended tells its work; one that
 * still runs is given up, as nobody waits for it. Some are asked at a time, so that a start does
 * not take the connections that tasks need.
 */
final class ForwardResolution {

  private static final int MAX_CONCURRENT_REQUESTS = 8;
  private static final int MAX_FORWARDS = 4096;
  private static final long REQUEST_TIMEOUT_NANOS =
      600_000_000L; // an engine holds a question open for 250 ms at most

  private final Manager manager;
  private final Timers timers;
  private final TaskListener listener;
  private final ArrayDeque<TaskListener.UnresolvedForward> unresolved = new ArrayDeque<>();

  ForwardResolution(Manager manager, Timers timers, TaskListener watch) {
    this.manager = manager;
    this.timers = timers;
    this.listener = watch;
  }

  void start(Collection<TaskListener.UnresolvedForward> all) {
    List<TaskListener.UnresolvedForward> some = List.copyOf(all);
    unresolved.addAll(some.subList(Math.max(0, some.size() - MAX_FORWARDS), some.size()));
    for (int i = 0; i < MAX_CONCURRENT_REQUESTS; i++) {
      next();
    }
  }

  private void next() {
    TaskListener.UnresolvedForward one = unresolved.poll();
    EngineConnections engine = one == null ? null : manager.engine(one.engine());
    if (engine != null) {
      new StatusRequest(one, engine).send();
    } else if (one != null) {
      manager.defer(this::next); // it is no engine of ours any more
    }
  }

  /** One of them. */
  private final class StatusRequest implements HttpConnection.ResponseHandler {
    private final TaskListener.UnresolvedForward forward;
    private final EngineConnections engine;
    private final Timers.Timer timer;
    private HttpConnection connection;
    private boolean ended;

    StatusRequest(TaskListener.UnresolvedForward about, EngineConnections engine) {
      this.forward = about;
      this.engine = engine;
      timer = timers.schedule(timers.now() + REQUEST_TIMEOUT_NANOS, this::timedOut);
    }

    void send() {
      connection = engine.send("GET", "/o/" + forward.task() + "/0", this);
      if (connection == null) {
        end();
      }
    }

    @Override
    public void responseReceived(HttpCodec.Response answer) throws ProtocolException {
      manager.counters().increment("inquiries.answered");
      if (answer.status() == 200) {
        listener.forwardResolved(
            forward, true, Math.round(answer.numericHeader("work-ms", 0) * 1e6));
      } else if (answer.status() == 202) {
        engine.sendInBackground(
            "DELETE",
            "/o/" + forward.task(),
            EngineConnections.EMPTY_BODY,
            EngineConnections.ANY_TIME,
            gone -> {});
        listener.forwardResolved(forward, false, 0);
      }
      end();
    }

    @Override
    public void requestFailed(HttpConnection.Failure why) {
      end();
    }

    private void timedOut() {
      if (!ended && connection != null) {
        connection.abort();
      }
      end();
    }

    private void end() {
      if (!ended) {
        ended = true;
        timer.cancel();
        manager.defer(ForwardResolution.this::next);
      }
    }
  }
}
