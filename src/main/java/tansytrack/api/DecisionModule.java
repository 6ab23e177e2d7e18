package tansytrack.api;

import java.util.List;

/**
 * What a workload manager hears. Calls carry the present time in nanoseconds and only take notes;
 * decide() acts on them, once after each batch of calls, through {@link Actions}.
 */
public interface DecisionModule {

  enum Progress {
    FRACTION_DONE,
    SPILLING,
    WAITING
  }

  /** Engines listed: the whole list when complete, else only what changed. */
  void onEngineList(long now, boolean complete, List<EngineEntry> entries);

  void onTask(long now, TaskRequest offer);

  /** May new tasks come in? Where not, each is bounced; those taken before go on. */
  void onAdmissionChange(long now, boolean open);

  /**
   * So many managers share the engines from now on, this one among them; before that the number in
   * the settings holds.
   */
  void onManagerCount(long now, int count);

  /**
   * A forward ended. Over: the task needs no answer any more. Cost and memory are 0 where they are
   * not told.
   */
  void onForwardEnd(
      long now,
      String task,
      int index,
      String engine,
      Outcome outcome,
      long lag,
      boolean over,
      long cost,
      double memoryMb,
      LoadReport report);

  void onProbeEnd(long now, String engine, Outcome outcome, LoadReport report);

  void onProgress(long now, String task, int index, String engine, Progress what, double amount);

  void onWakeUp(long now, String token);

  void onClientLeft(long now, String task);

  /** The manager is to end: an answer given after that time is lost. Tasks may still come. */
  void onShutdown(long now, long until);

  void decide(long now);

  /** The engines listed, as the module sees them at that time; changes nothing. */
  List<EngineStatus> engineStatuses(long now);
}
