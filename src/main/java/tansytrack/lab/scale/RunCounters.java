package tansytrack.lab.scale;

/** Counters of a scale run: statements by result, forwards, probes, checks and violations. */
final class RunCounters {

  long statements;
  long inTime;
  long late;
  long rejected;
  long aborted;

  /** Statements that were open when their manager was killed. */
  long lostWithManager;

  /** Statements that arrived while their manager was not running. */
  long arrivedWithoutManager;

  long attempts;
  long probes;
  long sweeps;

  /** Zone checks that modules made during sweeps. */
  long placementChecksInSweeps;

  /** Zone checks that modules made while they took in engine lists. */
  long placementChecksOnLists;

  long listsReceived;

  /** Starts of engines in which forwards exceeded the cold-start limit. */
  long coldLimitViolations;

  /** Engines that failed from overload while cold. */
  long coldEngineFailures;

  /** Forwards to engines by managers that had known of the drain for longer than the grace. */
  long drainViolations;

  /** Forwards after the drain grace by managers that had not known of the drain for that long. */
  long forwardsBeforeDrainNotice;

  private final long[] statementsBySecond;
  private final long[] inTimeBySecond;

  RunCounters(int seconds) {
    statementsBySecond = new long[seconds + 1];
    inTimeBySecond = new long[seconds + 1];
  }

  /** Adds the counts of another set of counters to these. */
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

  /** Counts a statement that arrives at a manager. */
  void countArrival(long atNanos) {
    statements++;
    statementsBySecond[second(atNanos)]++;
  }

  /** Counts a statement whose manager is not running. */
  void countArrivalWithoutManager(long atNanos) {
    arrivedWithoutManager++;
    countArrival(atNanos);
  }

  /** Counts an answer, as in time or late by the deadline of the statement. */
  void countAnswer(Statement statement, long atNanos) {
    if (atNanos <= statement.deadlineNanos) {
      inTime++;
      inTimeBySecond[second(statement.arrivedAtNanos)]++;
    } else {
      late++;
    }
  }

  /** For each second, the share of the statements arriving in it that were answered in time. */
  double[] inTimeShares() {
    double[] shares = new double[statementsBySecond.length - 1];
    for (int i = 0; i < shares.length; i++) {
      shares[i] =
          statementsBySecond[i] == 0 ? 1 : inTimeBySecond[i] / (double) statementsBySecond[i];
    }
    return shares;
  }
}
