package tansytrack.state;

import java.util.ArrayList;
import java.util.List;
import tansytrack.wire.PgSession;

/** A task that is owed an answer, or has forwards out. */
final class OpenTask {

  final String id;
  final String grade;
  final byte[] statement;
  final long cutOffAt;
  final boolean ordered; // one at a time with the others of its key
  final String stamp; // a mark by which engines know a repeat, as its client gave it; or null
  PgSession session; // null once it is answered or abandoned
  long memoryMb;
  int priority = 1;
  final List<OpenForward> forwards = new ArrayList<>(2);
  int out;

  OpenTask(
      String id,
      String grade,
      byte[] statement,
      long cutOffAt,
      boolean ordered,
      String stamp,
      PgSession session) {
    this.id = id;
    this.grade = grade;
    this.statement = statement;
    this.cutOffAt = cutOffAt;
    this.ordered = ordered;
    this.stamp = stamp;
    this.session = session;
  }

  boolean answered() {
    return session == null;
  }
}
