package tansytrack.state;

import java.util.Collection;
import java.util.List;
import tansytrack.api.Outcome;
import tansytrack.api.TaskRequest;

/**
 * Receives the events of tasks, on the event loop's thread. Implementations must not block, and do
 * not decide about tasks. Times are in nanoseconds.
 */
public interface TaskListener {

  /** How a task ended for its client. */
  enum TaskEnd {
    HANDLED,
    BOUNCED,
    ABORTED,
    ABANDONED,
    TIME_UP
  }

  /** A forward of a previous run of the manager whose outcome is unknown. */
  record UnresolvedForward(String task, String engine) {}

  /** Ignores all events. */
  TaskListener NONE = new TaskListener() {};

  /** Called when a task was accepted. */
  default void taskAccepted(long now, TaskRequest offer) {}

  /** Whether new tasks may be accepted, which requires that their records can be stored. */
  default boolean acceptsTasks() {
    return true;
  }

  /**
   * Called when a forward of an unanswered task is to be sent. The implementation runs {@code send}
   * exactly once to send it, here or shortly after on the event loop.
   */
  default void beforeForward(
      long now, String task, int index, String engine, long memoryMb, Runnable send) {
    send.run();
  }

  /**
   * Called when a forward has ended, also for one that {@link #beforeForward} was not called for as
   * its task had been answered.
   *
   * @param served whether its result goes to the client
   */
  default void forwardEnded(
      long now,
      String task,
      int index,
      Outcome outcome,
      long work,
      double memoryMb,
      boolean served) {}

  /**
   * Called when a task has ended for its client. The implementation runs {@code sendAnswer} exactly
   * once to give the answer, here or shortly after on the event loop.
   */
  default void beforeAnswer(long now, String task, TaskEnd end, long bytes, Runnable sendAnswer) {
    sendAnswer.run();
  }

  /** Returns the forwards about which engines are to be asked once, after the start. */
  default Collection<UnresolvedForward> unresolvedForwards() {
    return List.of();
  }

  /**
   * Called when an engine has answered about an unresolved forward.
   *
   * @param ended whether the query had ended, with the given work; otherwise it is cancelled now
   */
  default void forwardResolved(UnresolvedForward forward, boolean ended, long work) {}

  /**
   * Called on the event loop's thread when the loop ends. No further events follow; answers that
   * are still held back are given.
   */
  default void close() {}
}
