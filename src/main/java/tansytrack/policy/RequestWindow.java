package tansytrack.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * The requests that one engine was sent and that count within the present window. A request may
 * arrive at any time until the engine has confirmed it, so it counts until then and for a window
 * afterwards.
 */
final class RequestWindow {

  private static final long UNCONFIRMED = Long.MAX_VALUE;

  /** A request that was sent to the engine. */
  private static final class Request implements SlowStart.SentRequest {
    final double work;
    final long sentAt;
    long arrivedBy;

    Request(long sentAt, double work, long arrivedBy) {
      this.sentAt = sentAt;
      this.work = work;
      this.arrivedBy = arrivedBy;
    }

    @Override
    public void confirm(long now) {
      arrivedBy = Math.min(arrivedBy, now);
    }
  }

  private final List<Request> requests = new ArrayList<>(2);

  /** Adds a request that will be confirmed. */
  SlowStart.SentRequest addUnconfirmed(long now, double work) {
    return add(new Request(now, work, UNCONFIRMED));
  }

  /** Adds a request that arrives at once. */
  SlowStart.SentRequest add(long now, double work) {
    return add(new Request(now, work, now));
  }

  private SlowStart.SentRequest add(Request request) {
    requests.add(request);
    return request;
  }

  /**
   * Takes note that the engine is another process. It may have received the latest requests, but
   * none whose connection was established before its start.
   */
  void onNewProcess(long maxDelay) {
    requests.forEach(request -> request.confirm(request.sentAt + maxDelay));
  }

  /** Removes the requests that arrived before a time. */
  void evictBefore(long time) {
    requests.removeIf(request -> request.arrivedBy < time);
  }

  int count() {
    return requests.size();
  }

  double work() {
    return requests.stream().mapToDouble(request -> request.work).sum();
  }

  /** Returns the number of requests that were sent since a time. */
  int countSentSince(long time) {
    return (int) requests.stream().filter(request -> request.sentAt >= time).count();
  }

  /** Returns the work of the requests that were sent since a time. */
  double workSentSince(long time) {
    return requests.stream()
        .filter(request -> request.sentAt >= time)
        .mapToDouble(request -> request.work)
        .sum();
  }
}
