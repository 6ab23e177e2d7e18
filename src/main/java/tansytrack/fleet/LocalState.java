package tansytrack.fleet;

import java.util.Map;
import java.util.TreeMap;

/** What a member knows of itself; shared by the parts of its membership. */
final class LocalState {

  static final int MAX_HEALTH_SCORE = 8; // probes and suspicions take up to so many times longer

  final Map<String, Long> counts = new TreeMap<>();
  MemberState self;
  long now; // the time that it was told last
  int healthScore; // 0: well; else this one doubts itself
  int liveMembers = 1; // members that are thought to run, this one among them

  LocalState(MemberState self, long now) {
    this.self = self;
    this.now = now;
  }

  void count(String what) {
    counts.merge(what, 1L, Long::sum);
  }

  void raiseHealthScore(int more) {
    healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + more);
  }
}
