package tansytrack.lab.scale;

/** Counters of a scale run: statements by result, forwards, probes, checks and violations. */
final class Counts {

  long asked;
  long inTime;
  long late;
  long bounced;
  long aborted;

  /** Statements that were open when their manager was killed. */
  long lostWithManager;

  /** Statements that arrived while their manager was not running. */
  long unserved;

  long attempts;
  long probes;
  long sweeps;

  /** Zone checks that modules made during sweeps. */
  long sweepChecks;

  /** Zone checks that modules made while they took in engine lists. */
  long listChecks;

  long listsHeard;

  /** Starts of engines in which forwards exceeded the cold-start limit. */
  long coldOver;

  /** Engines that failed from overload while cold. */
  long coldFallen;

  /** Forwards to draining engines by managers that had known it for longer than the drain grace. */
  long drainBroken;

  /** Forwards after the drain grace by managers that had not known of the drain for that long. */
  long drainUnheard;

  private final long[] askedBySecond;
  private final long[] inTimeBySecond;

  Counts(int seconds) {
    askedBySecond = new long[seconds + 1];
    inTimeBySecond = new long[seconds + 1];
  }

  /** Adds the counts of another set of counters to these. */
  void add(Counts other) {
    asked += other.asked;
    inTime += other.inTime;
    late += other.late;
    bounced += other.bounced;
    aborted += other.aborted;
    lostWithManager += other.lostWithManager;
    unserved += other.unserved;
    attempts += other.attempts;
    probes += other.probes;
    sweeps += other.sweeps;
    sweepChecks += other.sweepChecks;
    listChecks += other.listChecks;
    listsHeard += other.listsHeard;
    coldOver += other.coldOver;
    coldFallen += other.coldFallen;
    drainBroken += other.drainBroken;
    drainUnheard += other.drainUnheard;
    for (int i = 0; i < askedBySecond.length; i++) {
      askedBySecond[i] += other.askedBySecond[i];
      inTimeBySecond[i] += other.inTimeBySecond[i];
    }
  }

  private int second(long at) {
    long second = (at - VirtualTime.ORIGIN) / ScalePlan.SECOND;
    return (int) Math.min(askedBySecond.length - 1, second);
  }

  /** Counts a statement that arrives at a manager. */
  void asked(long at) {
    asked++;
    askedBySecond[second(at)]++;
  }

  /** Counts a statement whose manager is not running. */
  void unserved(long at) {
    unserved++;
    asked(at);
  }

  /** Counts an answer, as in time or late by the deadline of the statement. */
  void answered(Statement statement, long at) {
    if (at <= statement.deadline) {
      inTime++;
      inTimeBySecond[second(statement.askedAt)]++;
    } else {
      late++;
    }
  }

  /** For each second, the share of the statements arriving in it that were answered in time. */
  double[] inTimeShares() {
    double[] shares = new double[askedBySecond.length - 1];
    for (int i = 0; i < shares.length; i++) {
      shares[i] = askedBySecond[i] == 0 ? 1 : inTimeBySecond[i] / (double) askedBySecond[i];
    }
    return shares;
  }
}
