package tansytrack.lab.scale;

import java.util.BitSet;
import java.util.List;
import java.util.function.Function;
import tansytrack.api.EngineStatus;

/** Counts the pairs of a manager and an engine that changes of the list made and ended. */
final class PairChanges {

  private final List<HollowManager> managers;
  private final Function<String, HollowEngine> engineById;
  private BitSet[] baseline; // the engines known by each manager; null: no change was told
  private long added;
  private long removed;

  PairChanges(List<HollowManager> managers, Function<String, HollowEngine> engineById) {
    this.managers = managers;
    this.engineById = engineById;
  }

  /** The first change is about to be told: what is known now is what counts. */
  void captureBaseline() {
    if (baseline == null) {
      baseline = new BitSet[managers.size()];
      for (int i = 0; i < baseline.length; i++) {
        baseline[i] = knownEngines(managers.get(i));
      }
    }
  }

  /** The run is over: what is known now is held against what was. */
  void countChanges() {
    if (baseline == null) {
      return;
    }
    for (int i = 0; i < baseline.length; i++) {
      BitSet now = knownEngines(managers.get(i));
      BitSet common = (BitSet) now.clone();
      common.and(baseline[i]);
      added += now.cardinality() - common.cardinality();
      removed += baseline[i].cardinality() - common.cardinality();
    }
  }

  /** The engines that its module holds, by their index. */
  BitSet knownEngines(HollowManager manager) {
    BitSet known = new BitSet();
    for (EngineStatus status : manager.knownEngines()) {
      known.set(engineById.apply(status.id()).index);
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
