package tansytrack.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import tansytrack.lab.scale.Workers;

/** Runs the tasks of a simulation on a pool of threads. */
final class ThreadPoolWorkers implements Workers, AutoCloseable {

  private final ExecutorService threads;

  ThreadPoolWorkers(int count) {
    threads = Executors.newFixedThreadPool(count);
  }

  @Override
  public void run(List<Runnable> tasks) {
    List<Callable<Object>> callables = new ArrayList<>();
    tasks.forEach(task -> callables.add(Executors.callable(task)));
    try {
      for (Future<Object> future : threads.invokeAll(callables)) {
        future.get();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while managers were simulated", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException("a manager failed", e.getCause());
    }
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }
}
