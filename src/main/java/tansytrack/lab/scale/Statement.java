package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;

/** A client's statement with its forwards. Times in nanoseconds of virtual time. */
final class Statement {

  final String id;
  final long arrivedAtNanos;
  final long deadlineNanos;
  final long costNanos;
  final List<Attempt> attempts = new ArrayList<>(1);

  /** Whether the statement was answered, rejected, aborted or lost. */
  boolean finished;

  Statement(String id, long arrivedAtNanos, long deadlineNanos, long costNanos) {
    this.id = id;
    this.arrivedAtNanos = arrivedAtNanos;
    this.deadlineNanos = deadlineNanos;
    this.costNanos = costNanos;
  }
}
