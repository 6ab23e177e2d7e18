package tansytrack.policy;

import tansytrack.util.SlidingWindow;

/** The requests that one engine was sent lately, with their work. */
final class RequestWindow {

  private final SlidingWindow window = new SlidingWindow();

  void add(long now, long work) {
    window.add(now, work);
  }

  void evictBefore(long time) {
    window.evictBefore(time);
  }

  int count() {
    return window.count();
  }

  double work() {
    return window.sum();
  }
}
