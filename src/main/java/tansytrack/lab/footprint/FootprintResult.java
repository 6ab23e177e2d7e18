package tansytrack.lab.footprint;

import java.util.List;

/**
 * The result of a footprint measurement.
 *
 * @param managers the footprint of each manager
 * @param engineTraffic the traffic of all managers as counted by the stub engines
 * @param listBytes size of the complete engine list as JSON
 */
record FootprintResult(
    List<ManagerFootprint> managers, EngineTraffic engineTraffic, int listBytes) {

  /** Whether all managers have received all published changes. */
  boolean allChangesReceived() {
    return managers.stream().allMatch(ManagerFootprint::allChangesReceived);
  }
}
