package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;

/** A client's statement, from when it comes until it is answered. */
final class Statement {

  final String id;
  final long arrivedAtNanos;
  final long deadlineNanos;
  final long costNanos;
  final List<Attempt> attempts = new ArrayList<>(1);

  /** It was answered, refused or lost. */
  boolean finished;

  Statement(String id, long arrivedAtNanos, long deadlineNanos, long costNanos) {
    this.id = id;
    this.arrivedAtNanos = arrivedAtNanos;
    this.deadlineNanos = deadlineNanos;
    this.costNanos = costNanos;
  }
}
