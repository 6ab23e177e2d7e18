package tansytrack.api;

/**
 * What a workload manager can do. Times in nanoseconds; a time-out or pause of 0 means none stated.
 */
public interface Actions {

  void forward(String task, String engine, long timeOut);

  void reject(String task, long pause);

  void abort(String task);

  void assignResources(String task, long memoryMb, int priority);

  void probe(String engine);

  void cancel(String task, int index);

  void scheduleWakeUp(long in, String token);

  void log(String text);
}
