package tansytrack.lab.scale;

/** The memory that a scale run takes, reckoned from its sizes before it starts. */
public final class MemoryEstimate {

  /** Heap of a pair of a manager and an engine that it holds, in bytes. */
  public static final double BYTES_PER_PAIR = 900;

  /** Heap of a manager beside its pairs. */
  public static final double BYTES_PER_MANAGER = 12_000;

  /** Heap of an engine: model, entry, what runs. */
  public static final double BYTES_PER_ENGINE = 6_000;

  /** Heap of a statement or attempt on its way, with its events. */
  public static final double BYTES_PER_STATEMENT_IN_FLIGHT = 2_000;

  /** Heap of a reference: each manager keeps the whole list by reference. */
  public static final double BYTES_PER_LIST_REFERENCE = 4;

  /** What is free in a heap that runs well, and the program itself. */
  private static final double HEAP_HEADROOM_FACTOR = 1.3;

  private static final double PROGRAM_BYTES = 100e6;

  private MemoryEstimate() {}

  /** In bytes, where each manager holds so many engines. */
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
