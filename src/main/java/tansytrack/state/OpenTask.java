package tansytrack.state;

import java.util.ArrayList;
import java.util.List;
import tansytrack.wire.PgSession;

/** A task that is not answered yet, or that has forwards which have not ended. */
final class OpenTask {

  final String id;
  final String queryClass;
  final byte[] statement;
  final long deadline;
  // Whether the tasks of its key run one at a time.
  final boolean ordered;
  // The client's key by which engines recognise a repeated statement, or null.
  final String idempotencyKey;
  // Null once the task is answered or abandoned.
  PgSession session;
  long memoryMb;
  int priority = 1;
  final List<OpenForward> forwards = new ArrayList<>(2);
  // The number of forwards that have not ended.
  int openForwards;

  OpenTask(
      String id,
      String grade,
      byte[] statement,
      long cutOffAt,
      boolean ordered,
      String stamp,
      PgSession session) {
    this.id = id;
    this.queryClass = grade;
    this.statement = statement;
    this.deadline = cutOffAt;
    this.ordered = ordered;
    this.idempotencyKey = stamp;
    this.session = session;
  }

  /** Whether the task needs no answer any more. */
  boolean answered() {
    return session == null;
  }
}
