package tansytrack.lab.scale;

/** Estimates the memory that a scale run needs from its sizes, before it starts. */
public final class MemoryEstimate {

  /** Heap bytes of a pair: a manager and an engine that it holds. */
  public static final double BYTES_PER_PAIR = 900;

  /** Heap bytes of a manager without its pairs. */
  public static final double BYTES_PER_MANAGER = 12_000;

  /** Heap bytes of an engine: its model, its list entry and its running attempts. */
  public static final double BYTES_PER_ENGINE = 6_000;

  /** Heap bytes of a statement or attempt in flight, with its events. */
  public static final double BYTES_PER_STATEMENT_IN_FLIGHT = 2_000;

  /** Heap bytes of a reference: each manager refers to every entry of the shared engine list. */
  public static final double BYTES_PER_LIST_REFERENCE = 4;

  /** The heap size over the live data, which leaves the garbage collector free space. */
  private static final double HEAP_HEADROOM_FACTOR = 1.3;

  /** Memory of the program itself. */
  private static final double PROGRAM_BYTES = 100e6;

  private MemoryEstimate() {}

  /** The memory in bytes for a run in which each manager holds this many engines. */
  public static double bytes(ScalePlan plan, double enginesPerManager) {
    double pairs = plan.managers() * enginesPerManager;
    double inFlight = ScalePlan.TARGET_UTILIZATION * ScalePlan.CORES_PER_ENGINE * plan.engines();
    double heap =
        pairs * BYTES_PER_PAIR
            + plan.managers() * (BYTES_PER_MANAGER + plan.engines() * BYTES_PER_LIST_REFERENCE)
            + plan.engines() * BYTES_PER_ENGINE
            + inFlight * BYTES_PER_STATEMENT_IN_FLIGHT;
    return PROGRAM_BYTES + heap * HEAP_HEADROOM_FACTOR;
  }
}
