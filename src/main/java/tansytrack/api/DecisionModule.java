package tansytrack.api;

import java.util.List;

/**
 * Receives the events of a workload manager and decides on them. Each call carries the present time
 * in nanoseconds and only queues the event; {@link #decide} acts on the events, once after each
 * batch of calls, through {@link Actions}.
 */
public interface DecisionModule {

  /** What an engine reports about a running forward. */
  enum Progress {
    /** The fraction of the work that is done. */
    FRACTION_DONE,
    /** The forward spills to disk. */
    SPILLING,
    /** The forward makes no progress, as it waits for memory or a bulk load. */
    WAITING
  }

  /** An engine list has arrived: the whole list if complete, or else the changed entries only. */
  void onEngineList(long now, boolean complete, List<EngineEntry> entries);

  /** A client has submitted a task. */
  void onTask(long now, TaskRequest request);

  /** Opens or closes admission. While closed, new tasks are rejected; accepted ones continue. */
  void onAdmissionChange(long now, boolean open);

  /**
   * The number of managers that share the engines has changed; it includes this manager. Until the
   * first call the number in the settings holds.
   */
  void onManagerCount(long now, int count);

  /**
   * A forward has ended. If {@code over} is set, the task needs no answer any more. Cost and memory
   * are 0 where they were not reported.
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

  /**
   * The engine has confirmed that it received a forward, which goes on, by the given time. A
   * forward that ends needs no confirmation.
   */
  void onForwardReceived(long now, String task, int index, String engine, long receivedBy);

  /** A probe has ended; the report is null where the engine sent none. */
  void onProbeEnd(long now, String engine, Outcome outcome, LoadReport report);

  /** An engine has reported the progress of a forward. */
  void onProgress(
      long now, String task, int index, String engine, Progress progress, double amount);

  /** A scheduled wake-up is due. */
  void onWakeUp(long now, String token);

  /** The client has disconnected or cancelled the task. */
  void onClientLeft(long now, String task);

  /** The manager shuts down: answers after the given time are lost. Tasks may still arrive. */
  void onShutdown(long now, long until);

  /** Acts on all events since the last call. */
  void decide(long now);

  /** Returns the status of the listed engines in use at the given time; changes nothing. */
  List<EngineStatus> engineStatuses(long now);
}
