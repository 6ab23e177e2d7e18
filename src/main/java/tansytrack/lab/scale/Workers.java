package tansytrack.lab.scale;

import java.util.List;

/** Runs independent tasks, in any order or in parallel, and waits for all of them. */
@FunctionalInterface
public interface Workers {

  /** Runs the tasks one after another in the calling thread. */
  Workers SEQUENTIAL = tasks -> tasks.forEach(Runnable::run);

  /** Runs all tasks and returns when they have finished. */
  void run(List<Runnable> tasks);
}
