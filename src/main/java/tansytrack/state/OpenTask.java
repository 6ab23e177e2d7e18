package tansytrack.state;

import java.util.ArrayList;
import java.util.List;
import tansytrack.wire.PgSession;

/** A task that is owed an answer, or has forwards out. */
final class OpenTask {

  final String id;
  final String queryClass;
  final byte[] statement;
  final long deadline;
  final boolean ordered; // one at a time with the others of its key
  final String
      idempotencyKey; // a mark by which engines know a repeat, as its client gave it; or null
  PgSession session; // null once it is answered or abandoned
  long memoryMb;
  int priority = 1;
  final List<OpenForward> forwards = new ArrayList<>(2);
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

  boolean answered() {
    return session == null;
  }
}
