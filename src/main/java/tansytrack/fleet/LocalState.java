package tansytrack.fleet;

import java.util.Map;
import java.util.TreeMap;

/** A member's state of itself, shared by the parts of its membership. */
final class LocalState {

  // Probe intervals, probe timeouts and suspicions last 1 + score times as long, 9 times at most.
  static final int MAX_HEALTH_SCORE = 8;

  final Map<String, Long> counts = new TreeMap<>();
  MemberState self;
  // The latest time that was passed in.
  long now;
  // The local health score of Lifeguard; 0 is healthy.
  int healthScore;
  // Members that are alive or suspected, this one included.
  int liveMembers = 1;

  LocalState(MemberState self, long now) {
    this.self = self;
    this.now = now;
  }

  void count(String event) {
    counts.merge(event, 1L, Long::sum);
  }

  void raiseHealthScore(int increase) {
    healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + increase);
  }
}
