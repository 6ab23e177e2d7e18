package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;

/** A client's statement, from when it comes until it is answered. */
final class Statement {

  final String id;
  final long askedAt;
  final long deadline;
  final long cost;
  final List<Attempt> attempts = new ArrayList<>(1);

  /** It was answered, refused or lost. */
  boolean over;

  Statement(String id, long askedAt, long deadline, long cost) {
    this.id = id;
    this.askedAt = askedAt;
    this.deadline = deadline;
    this.cost = cost;
  }
}
