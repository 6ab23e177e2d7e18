package tansytrack.lab.scale;

/** The memory that a scale run takes, reckoned from its sizes before it starts. */
public final class MemoryNeed {

  /** Heap of a pair of a manager and an engine that it holds, in bytes. */
  public static final double PAIR = 900;

  /** Heap of a manager beside its pairs. */
  public static final double MANAGER = 12_000;

  /** Heap of an engine: model, entry, what runs. */
  public static final double ENGINE = 6_000;

  /** Heap of a statement or attempt on its way, with its events. */
  public static final double IN_FLIGHT = 2_000;

  /** Heap of a reference: each manager keeps the whole list by reference. */
  public static final double LISTED = 4;

  /** What is free in a heap that runs well, and the program itself. */
  private static final double ROOM = 1.3;

  private static final double PROGRAM = 100e6;

  private MemoryNeed() {}

  /** In bytes, where each manager holds so many engines. */
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
