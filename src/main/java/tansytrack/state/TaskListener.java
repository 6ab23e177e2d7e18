package tansytrack.state;

import java.util.Collection;
import java.util.List;
import tansytrack.api.Outcome;
import tansytrack.api.TaskRequest;

/**
 * Hears what tasks do, in the loop; it must not block, and decides nothing about them. Times in
 * nanoseconds.
 */
public interface TaskListener {

  /** How a task stopped being owed an answer. */
  enum TaskEnd {
    HANDLED,
    BOUNCED,
    ABORTED,
    ABANDONED,
    TIME_UP
  }

  /** A forward that the life before left out. */
  record UnresolvedForward(String task, String engine) {}

  /** Hears nothing. */
  TaskListener NONE = new TaskListener() {};

  /** A task was taken in. */
  default void taskAccepted(long now, TaskRequest offer) {}

  /** May new tasks come in, as far as what must be kept of them can be? */
  default boolean acceptsTasks() {
    return true;
  }

  /** A forward is to go out, by running go, once, here or a moment later in the loop. */
  default void beforeForward(
      long now, String task, int index, String engine, long memoryMb, Runnable go) {
    go.run();
  }

  /** A forward ended; served: what it brought goes to the client. */
  default void forwardEnded(
      long now,
      String task,
      int index,
      Outcome outcome,
      long work,
      double memoryMb,
      boolean served) {}

  /**
   * The task's answer, which is to be given by running say, once, here or a moment later in the
   * loop.
   */
  default void beforeAnswer(long now, String task, TaskEnd end, long bytes, Runnable say) {
    say.run();
  }

  /** What engines are to be asked about, once, after the start. */
  default Collection<UnresolvedForward> unresolvedForwards() {
    return List.of();
  }

  /** What an engine said of it: ended, with its work, or given up now. */
  default void forwardResolved(UnresolvedForward about, boolean ended, long work) {}

  /**
   * Nothing comes any more; what is still to be given is given. Called by the loop's thread at its
   * end.
   */
  default void close() {}
}
