package tansytrack.api;

/**
 * The actions that a decision module can take. Times are in nanoseconds; a timeout or delay of 0
 * means that none is stated.
 */
public interface Actions {

  /** Sends the task to an engine. */
  void forward(String task, String engine, long timeoutNanos);

  /** Ends the task without a result; the client may retry it after the delay. */
  void reject(String task, long retryAfterNanos);

  /** Ends the task with an error: an engine may have executed it, and a retry may not be safe. */
  void abort(String task);

  /** Sets the memory grant and the priority with which the task's next forward is sent. */
  void assignResources(String task, long memoryMb, int priority);

  /** Asks an engine for its health and load. */
  void probe(String engine);

  /** Cancels the forward of the task that has the given index. */
  void cancel(String task, int index);

  /** Schedules one wake-up after the given time; it comes with the same token. */
  void scheduleWakeUp(long delayNanos, String token);

  /**
   * Whether {@link DecisionModule#onForwardReceived} tells when an engine has received a forward.
   * Where it does not, a forward counts as received when it is sent.
   */
  default boolean reportsArrivals() {
    return false;
  }

  /** Writes a line to the log. */
  void log(String text);
}
