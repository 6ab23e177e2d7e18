package tansytrack.lab.scale;

/** What a scale run counts while it plays. */
final class RunCounters {

  long statements;
  long inTime;
  long late;
  long rejected;
  long aborted;
  long lostWithManager;
  long arrivedWithoutManager; // came while their manager was away
  long attempts;
  long probes;
  long sweeps;
  long placementChecksInSweeps;
  long placementChecksOnLists;
  long listsReceived;
  long coldLimitViolations;
  long coldEngineFailures;
  long drainViolations;
  long forwardsBeforeDrainNotice;

  private final long[] statementsBySecond;
  private final long[] inTimeBySecond;

  RunCounters(int seconds) {
    statementsBySecond = new long[seconds + 1];
    inTimeBySecond = new long[seconds + 1];
  }

  /** Adds another's counts to these. */
  void add(RunCounters other) {
    statements += other.statements;
    inTime += other.inTime;
    late += other.late;
    rejected += other.rejected;
    aborted += other.aborted;
    lostWithManager += other.lostWithManager;
    arrivedWithoutManager += other.arrivedWithoutManager;
    attempts += other.attempts;
    probes += other.probes;
    sweeps += other.sweeps;
    placementChecksInSweeps += other.placementChecksInSweeps;
    placementChecksOnLists += other.placementChecksOnLists;
    listsReceived += other.listsReceived;
    coldLimitViolations += other.coldLimitViolations;
    coldEngineFailures += other.coldEngineFailures;
    drainViolations += other.drainViolations;
    forwardsBeforeDrainNotice += other.forwardsBeforeDrainNotice;
    for (int i = 0; i < statementsBySecond.length; i++) {
      statementsBySecond[i] += other.statementsBySecond[i];
      inTimeBySecond[i] += other.inTimeBySecond[i];
    }
  }

  private int second(long atNanos) {
    long second = (atNanos - VirtualClock.ORIGIN_NANOS) / ScalePlan.NANOS_PER_SECOND;
    return (int) Math.min(statementsBySecond.length - 1, second);
  }

  void countArrival(long atNanos) {
    statements++;
    statementsBySecond[second(atNanos)]++;
  }

  void countArrivalWithoutManager(long atNanos) {
    arrivedWithoutManager++;
    countArrival(atNanos);
  }

  void countAnswer(Statement statement, long atNanos) {
    if (atNanos <= statement.deadlineNanos) {
      inTime++;
      inTimeBySecond[second(statement.arrivedAtNanos)]++;
    } else {
      late++;
    }
  }

  /** The share answered in time of the statements that came in each second. */
  double[] inTimeShares() {
    double[] shares = new double[statementsBySecond.length - 1];
    for (int i = 0; i < shares.length; i++) {
      shares[i] =
          statementsBySecond[i] == 0 ? 1 : inTimeBySecond[i] / (double) statementsBySecond[i];
    }
    return shares;
  }
}
