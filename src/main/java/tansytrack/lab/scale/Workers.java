package tansytrack.lab.scale;

import java.util.List;

/** Runs tasks that share nothing, in any order or at once, and waits for all. */
@FunctionalInterface
public interface Workers {

  /** One after the other. */
  Workers SEQUENTIAL = tasks -> tasks.forEach(Runnable::run);

  /** Runs them all. */
  void run(List<Runnable> tasks);
}
