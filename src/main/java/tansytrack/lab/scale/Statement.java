package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;

/** A client's statement with its forwards. Times in nanoseconds of virtual time. */
final class Statement {

  final String id;
  final long askedAt;
  final long deadline;
  final long cost;
  final List<Attempt> attempts = new ArrayList<>(1);

  /** Whether the statement was answered, rejected, aborted or lost. */
  boolean over;

  Statement(String id, long askedAt, long deadline, long cost) {
    this.id = id;
    this.askedAt = askedAt;
    this.deadline = deadline;
    this.cost = cost;
  }
}
