package tansytrack.lab.footprint;

import java.util.List;

/**
 * The result of a footprint measurement.
 *
 * @param managers the footprint of each manager
 * @param engines the traffic of all managers as counted by the stub engines
 * @param listBytes size of the complete engine list as JSON
 */
record FootprintResult(List<ManagerFootprint> managers, EngineCalls engines, int listBytes) {

  /** Whether all managers have received all published changes. */
  boolean reached() {
    return managers.stream().allMatch(ManagerFootprint::reached);
  }
}
