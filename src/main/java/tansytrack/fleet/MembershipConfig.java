package tansytrack.fleet;

import java.util.List;

/**
 * The figures of a membership; times in nanoseconds.
 *
 * @param period between two probes
 * @param timeout of a probe before others are asked to try
 * @param helpers that are asked
 * @param least shortest suspicion, in periods a factor of ten of members
 * @param most longest suspicion, in shortest ones
 * @param datagram the most bytes of a letter
 * @param bytesASecond sent, letters that are owed aside
 * @param mostMembers known at a time
 * @param mostFacts held at a time
 * @param exchangeEvery between two full exchanges
 * @param forgetAfter what is dead or has left is no longer known
 * @param seeds addresses to join by
 */
public record MembershipConfig(
    long probeIntervalNanos,
    long probeTimeoutNanos,
    int indirectProbes,
    double suspicionMultiplier,
    double maxSuspicionMultiplier,
    int maxMessageBytes,
    int maxBytesPerSecond,
    int maxMembers,
    int maxFacts,
    long syncIntervalNanos,
    long goneRetentionNanos,
    List<String> seeds) {

  private static final long NANOS_PER_MS = 1_000_000L;

  /** The usual rules, with the usual timing and bound on sending. */
  public static MembershipConfig defaults(List<String> seeds) {
    return defaults(seeds, 500 * NANOS_PER_MS, 16_384);
  }

  /** With a probe in so long and so many bytes a second; the rest follows. */
  public static MembershipConfig defaults(List<String> seeds, long period, int bytesASecond) {
    return new MembershipConfig(
        period,
        3 * period / 10,
        3,
        4,
        4,
        1200,
        bytesASecond,
        1024,
        8192,
        20 * period,
        600_000 * NANOS_PER_MS,
        seeds);
  }
}
