package tansytrack.lab.scale;

import java.util.BitSet;
import java.util.List;
import java.util.function.Function;
import tansytrack.api.EngineStatus;

/** Counts the pairs of a manager and an engine that changes of the list added and removed. */
final class PairChanges {

  private final List<HollowManager> managers;
  private final Function<String, HollowEngine> engines;

  /** The engines known by each manager before the first change; null while there was none. */
  private BitSet[] before;

  private long added;
  private long removed;

  PairChanges(List<HollowManager> managers, Function<String, HollowEngine> engines) {
    this.managers = managers;
    this.engines = engines;
  }

  /** Captures the known engines before the first change is published; later calls do nothing. */
  void begin() {
    if (before == null) {
      before = new BitSet[managers.size()];
      for (int i = 0; i < before.length; i++) {
        before[i] = known(managers.get(i));
      }
    }
  }

  /** Compares the known engines at the end of the run with the baseline. */
  void end() {
    if (before == null) {
      return;
    }
    for (int i = 0; i < before.length; i++) {
      BitSet now = known(managers.get(i));
      BitSet both = (BitSet) now.clone();
      both.and(before[i]);
      added += now.cardinality() - both.cardinality();
      removed += before[i].cardinality() - both.cardinality();
    }
  }

  /** The indexes of the engines that the module of a manager holds. */
  BitSet known(HollowManager manager) {
    BitSet known = new BitSet();
    for (EngineStatus view : manager.known()) {
      known.set(engines.apply(view.id()).index);
    }
    return known;
  }

  long added() {
    return added;
  }

  long removed() {
    return removed;
  }
}
