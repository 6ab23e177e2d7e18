package tansytrack.fleet;

import java.util.Map;
import java.util.TreeMap;

/** What a member knows of itself; shared by the parts of its membership. */
final class LocalState {

  static final int MOST_HEALTH = 8; // probes and suspicions take up to so many times longer

  final Map<String, Long> counts = new TreeMap<>();
  Word self;
  long now; // the time that it was told last
  int health; // 0: well; else this one doubts itself
  int there = 1; // members that are thought to run, this one among them

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
