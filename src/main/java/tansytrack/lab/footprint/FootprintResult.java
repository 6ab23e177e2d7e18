package tansytrack.lab.footprint;

import java.util.List;

/**
 * What a run measured: each manager, and the engines' side of all of them.
 *
 * @param listBytes of the whole list, as JSON
 */
record FootprintResult(List<ManagerFootprint> managers, EngineCalls engines, int listBytes) {

  /** Have all managers got all changes? */
  boolean reached() {
    return managers.stream().allMatch(ManagerFootprint::reached);
  }
}
