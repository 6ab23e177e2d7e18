package tansytrack.lab.scale;

/** Estimates the memory that a scale run needs from its sizes, before it starts. */
public final class MemoryNeed {

  /** Heap bytes of a pair: a manager and an engine that it holds. */
  public static final double PAIR = 900;

  /** Heap bytes of a manager without its pairs. */
  public static final double MANAGER = 12_000;

  /** Heap bytes of an engine: its model, its list entry and its running attempts. */
  public static final double ENGINE = 6_000;

  /** Heap bytes of a statement or attempt in flight, with its events. */
  public static final double IN_FLIGHT = 2_000;

  /** Heap bytes of a reference: each manager refers to every entry of the shared engine list. */
  public static final double LISTED = 4;

  /** The heap size over the live data, which leaves the garbage collector free space. */
  private static final double ROOM = 1.3;

  /** Memory of the program itself. */
  private static final double PROGRAM = 100e6;

  private MemoryNeed() {}

  /** The memory in bytes for a run in which each manager holds this many engines. */
  public static double of(ScalePlan plan, double enginesPerManager) {
    double pairs = plan.managers() * enginesPerManager;
    double inFlight = ScalePlan.UTILISATION * ScalePlan.CORES * plan.engines();
    double heap =
        pairs * PAIR
            + plan.managers() * (MANAGER + plan.engines() * LISTED)
            + plan.engines() * ENGINE
            + inFlight * IN_FLIGHT;
    return PROGRAM + heap * ROOM;
  }
}
