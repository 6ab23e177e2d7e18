package tansytrack.lab.scale;

import java.util.BitSet;
import java.util.List;
import java.util.function.Function;
import tansytrack.api.EngineStatus;

/** Counts the pairs of a manager and an engine that changes of the list added and removed. */
final class PairChanges {

  private final List<HollowManager> managers;
  private final Function<String, HollowEngine> engineById;

  /** The engines known by each manager before the first change; null while there was none. */
  private BitSet[] baseline;

  private long added;
  private long removed;

  PairChanges(List<HollowManager> managers, Function<String, HollowEngine> engineById) {
    this.managers = managers;
    this.engineById = engineById;
  }

  /** Captures the known engines before the first change is published; later calls do nothing. */
  void captureBaseline() {
    if (baseline == null) {
      baseline = new BitSet[managers.size()];
      for (int i = 0; i < baseline.length; i++) {
        baseline[i] = knownEngines(managers.get(i));
      }
    }
  }

  /** Compares the known engines at the end of the run with the baseline. */
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

  /** The indexes of the engines that the module of a manager holds. */
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
