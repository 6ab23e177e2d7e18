package tansytrack.lab.scale;

/** What a scale run counts while it plays. */
final class Counts {

  long asked;
  long inTime;
  long late;
  long bounced;
  long aborted;
  long lostWithManager;
  long unserved; // came while their manager was away
  long attempts;
  long probes;
  long sweeps;
  long sweepChecks;
  long listChecks;
  long listsHeard;
  long coldOver;
  long coldFallen;
  long drainBroken;
  long drainUnheard;

  private final long[] askedBySecond;
  private final long[] inTimeBySecond;

  Counts(int seconds) {
    askedBySecond = new long[seconds + 1];
    inTimeBySecond = new long[seconds + 1];
  }

  /** Adds another's counts to these. */
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

  void asked(long at) {
    asked++;
    askedBySecond[second(at)]++;
  }

  void unserved(long at) {
    unserved++;
    asked(at);
  }

  void answered(Statement statement, long at) {
    if (at <= statement.deadline) {
      inTime++;
      inTimeBySecond[second(statement.askedAt)]++;
    } else {
      late++;
    }
  }

  /** The share answered in time of the statements that came in each second. */
  double[] inTimeShares() {
    double[] shares = new double[askedBySecond.length - 1];
    for (int i = 0; i < shares.length; i++) {
      shares[i] = askedBySecond[i] == 0 ? 1 : inTimeBySecond[i] / (double) askedBySecond[i];
    }
    return shares;
  }
}
