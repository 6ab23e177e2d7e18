package tansytrack.fleet;

import java.util.List;

/**
 * The parameters of a membership.
 *
 * @param probeIntervalNanos time between two probes
 * @param probeTimeoutNanos time to wait for an ack before indirect probes are sent
 * @param indirectProbes number of members asked for an indirect probe
 * @param suspicionMultiplier shortest suspicion, in probe intervals per factor of ten of live
 *     members
 * @param maxSuspicionMultiplier longest suspicion, as a multiple of the shortest
 * @param maxMessageBytes maximum size of a message
 * @param maxBytesPerSecond rate above which no updates are piggybacked; at twice the rate only acks
 *     and sync responses are sent
 * @param maxMembers maximum number of other members known at a time
 * @param maxFacts maximum number of facts held at a time
 * @param syncIntervalNanos time between two anti-entropy syncs
 * @param goneRetentionNanos time after which dead members and members that left are forgotten
 * @param seeds addresses of members to join through
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

  /** The default configuration: a probe every 500 ms and 16 KiB per second. */
  public static MembershipConfig defaults(List<String> seeds) {
    return defaults(seeds, 500 * NANOS_PER_MS, 16_384);
  }

  /** The defaults for a probe interval and a rate; other times derive from the interval. */
  public static MembershipConfig defaults(
      List<String> seeds, long probeIntervalNanos, int maxBytesPerSecond) {
    return new MembershipConfig(
        probeIntervalNanos,
        3 * probeIntervalNanos / 10,
        3,
        4,
        4,
        1200,
        maxBytesPerSecond,
        1024,
        8192,
        20 * probeIntervalNanos,
        600_000 * NANOS_PER_MS,
        seeds);
  }
}
