package tansytrack.lab.scale;

import java.util.BitSet;
import java.util.List;
import java.util.function.Function;
import tansytrack.api.EngineStatus;

/** Counts the pairs of a manager and an engine that changes of the list made and ended. */
final class PairChanges {

  private final List<HollowManager> managers;
  private final Function<String, HollowEngine> engines;
  private BitSet[] before; // the engines known by each manager; null: no change was told
  private long added;
  private long removed;

  PairChanges(List<HollowManager> managers, Function<String, HollowEngine> engines) {
    this.managers = managers;
    this.engines = engines;
  }

  /** The first change is about to be told: what is known now is what counts. */
  void begin() {
    if (before == null) {
      before = new BitSet[managers.size()];
      for (int i = 0; i < before.length; i++) {
        before[i] = known(managers.get(i));
      }
    }
  }

  /** The run is over: what is known now is held against what was. */
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

  /** The engines that its module holds, by their index. */
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
