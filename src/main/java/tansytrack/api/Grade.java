package tansytrack.api;

import java.util.Set;

/**
 * One service grade as the start-up settings give it; an empty set of places or kinds means any.
 */
public record Grade(
    String name,
    Repeat repeat,
    Scope scope,
    long repeatWindow,
    long promisedTime,
    double stretch,
    long cutOff,
    double earnings,
    double lateEarnings,
    boolean inOrder,
    Set<String> places,
    Set<String> kinds,
    int threads,
    boolean load,
    boolean waitsForLoads) {

  /** May a task of this grade run again? */
  public enum Repeat {
    HARMLESS,
    STAMPED,
    ONE_SHOT
  }

  /**
   * Which engines drop the repeats of a stamped task: all, those of one place, those of one cell.
   */
  public enum Scope {
    ALL,
    PLACE,
    CELL
  }
}
