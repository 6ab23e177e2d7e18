package tansytrack.fleet;

import java.util.Map;
import java.util.TreeMap;

/** A member's state of itself, shared by the parts of its membership. */
final class LocalState {

  // Probe intervals, probe timeouts and suspicions last 1 + score times as long, 9 times at most.
  static final int MOST_HEALTH = 8;

  final Map<String, Long> counts = new TreeMap<>();
  Word self;
  // The latest time that was passed in.
  long now;
  // The local health score of Lifeguard; 0 is healthy.
  int health;
  // Members that are alive or suspected, this one included.
  int there = 1;

  LocalState(Word self, long now) {
    this.self = self;
    this.now = now;
  }

  void count(String what) {
    counts.merge(what, 1L, Long::sum);
  }

  void doubt(int more) {
    health = Math.min(MOST_HEALTH, health + more);
  }
}
