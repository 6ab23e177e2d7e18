package tansytrack.lab.footprint;

import java.util.List;

/**
 * What a run measured: each manager, and the engines' side of all of them.
 *
 * @param listBytes of the whole list, as JSON
 */
record FootprintResult(
    List<ManagerFootprint> managers, EngineTraffic engineTraffic, int listBytes) {

  /** Have all managers got all changes? */
  boolean allChangesReceived() {
    return managers.stream().allMatch(ManagerFootprint::allChangesReceived);
  }
}
