package tansytrack.api;

import java.util.List;

/**
 * What a workload manager hears. Calls carry the present time in nanoseconds and only take notes;
 * decide() acts on them, once after each batch of calls, through {@link Actions}.
 */
public interface Decisions {

  enum Progress {
    SHARE_DONE,
    SPILLS,
    WAITS
  }

  /** Engines listed: the whole list when complete, else only what changed. */
  void engines(long now, boolean complete, List<EngineEntry> entries);

  void task(long now, TaskOffer offer);

  /** May new tasks come in? Where not, each is bounced; those taken before go on. */
  void admit(long now, boolean open);

  /**
   * So many managers share the engines from now on, this one among them; before that the number in
   * the settings holds.
   */
  void siblings(long now, int count);

  /**
   * A forward ended. Over: the task needs no answer any more. Cost and memory are 0 where they are
   * not told.
   */
  void outcome(
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

  void probed(long now, String engine, Outcome outcome, LoadReport report);

  void progress(long now, String task, int index, String engine, Progress what, double amount);

  void woken(long now, String token);

  void abandoned(long now, String task);

  /** The manager is to end: an answer given after that time is lost. Tasks may still come. */
  void stopping(long now, long until);

  void decide(long now);

  /** The engines listed, as the module sees them at that time; changes nothing. */
  List<EngineView> view(long now);
}
