package tansytrack.state;

import java.util.ArrayList;
import java.util.List;
import tansytrack.wire.PgSession;

/** A task that is not answered yet, or that has forwards which have not ended. */
final class OpenTask {

  private static final long NANOS_PER_MS = 1_000_000L;

  final String id;
  final String queryClass;
  // Null once the task is answered or abandoned.
  byte[] statement;
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
      String queryClass,
      byte[] statement,
      long deadline,
      boolean ordered,
      String idempotencyKey,
      PgSession session) {
    this.id = id;
    this.queryClass = queryClass;
    this.statement = statement;
    this.deadline = deadline;
    this.ordered = ordered;
    this.idempotencyKey = idempotencyKey;
    this.session = session;
  }

  /** Whether the task needs no answer any more. */
  boolean answered() {
    return session == null;
  }

  /**
   * Returns the header fields of a start request.
   *
   * @param remainingNanos the time left for the query; the engine is told at least 1 ms
   */
  String startHeaders(long remainingNanos) {
    return "X-Req: "
        + id
        + "\r\nX-Class: "
        + queryClass
        + "\r\nX-Wait-Ms: "
        + Math.max(1, remainingNanos / NANOS_PER_MS)
        + "\r\n"
        + (idempotencyKey == null ? "" : "Idempotency-Key: " + idempotencyKey + "\r\n")
        + (memoryMb > 0 ? "Grant-Mb: " + memoryMb + "\r\n" : "")
        + "Rank: "
        + priority
        + "\r\n";
  }
}
