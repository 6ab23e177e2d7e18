package tansytrack.state;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import tansytrack.wire.HttpCodec;
import tansytrack.wire.HttpConnection;
import tansytrack.wire.HttpRequest;
import tansytrack.wire.ProtocolException;

/**
 * Asks engines, after a start, about the forwards that the previous run of this manager left
 * unresolved. An engine drops a query that has not been polled for 2 s. The engine reports the work
 * of a query that has ended; one that still runs is cancelled, as no client waits for it. The
 * number of concurrent requests is limited, so that a start does not use up the connections that
 * tasks need.
 */
final class ForwardResolution {

  private static final int MAX_CONCURRENT_REQUESTS = 8;
  private static final int MAX_FORWARDS = 4096;

  // Longer than the 250 ms for which an engine holds a long poll open.
  private static final long REQUEST_TIMEOUT_NANOS = 600_000_000L;

  private final Manager manager;
  private final Timers timers;
  private final TaskListener listener;
  private final ArrayDeque<TaskListener.UnresolvedForward> unresolved = new ArrayDeque<>();

  ForwardResolution(Manager manager, Timers timers, TaskListener listener) {
    this.manager = manager;
    this.timers = timers;
    this.listener = listener;
  }

  /** Asks about the given forwards; of too many, only about the most recent ones. */
  void start(Collection<TaskListener.UnresolvedForward> forwards) {
    List<TaskListener.UnresolvedForward> list = List.copyOf(forwards);
    unresolved.addAll(list.subList(Math.max(0, list.size() - MAX_FORWARDS), list.size()));
    for (int i = 0; i < MAX_CONCURRENT_REQUESTS; i++) {
      sendNextRequest();
    }
  }

  private void sendNextRequest() {
    TaskListener.UnresolvedForward forward = unresolved.poll();
    EngineConnections engine = forward == null ? null : manager.engine(forward.engine());
    if (engine != null) {
      new StatusRequest(forward, engine).send();
    } else if (forward != null) {
      manager.defer(this::sendNextRequest); // the engine is no longer listed
    }
  }

  /** The request about one forward. */
  private final class StatusRequest implements HttpConnection.ResponseHandler {
    private final TaskListener.UnresolvedForward forward;
    private final EngineConnections engine;
    private final Timers.Timer timer;
    private HttpConnection connection;
    private boolean ended;

    StatusRequest(TaskListener.UnresolvedForward forward, EngineConnections engine) {
      this.forward = forward;
      this.engine = engine;
      timer = timers.schedule(timers.now() + REQUEST_TIMEOUT_NANOS, this::timedOut);
    }

    void send() {
      connection = engine.send(HttpRequest.get("/o/" + forward.task() + "/0"), this);
      if (connection == null) {
        end();
      }
    }

    @Override
    public void responseReceived(HttpCodec.Response response) throws ProtocolException {
      manager.counters().increment("inquiries.answered");
      if (response.status() == 200) {
        listener.forwardResolved(
            forward, true, Math.round(response.numericHeader("work-ms", 0) * 1e6));
      } else if (response.status() == 202) {
        engine.sendInBackground(
            HttpRequest.delete("/o/" + forward.task()), EngineConnections.ANY_TIME, reached -> {});
        listener.forwardResolved(forward, false, 0);
      }
      end();
    }

    @Override
    public void requestFailed(HttpConnection.Failure failure) {
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
        manager.defer(ForwardResolution.this::sendNextRequest);
      }
    }
  }
}
