package tansytrack.lab.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tansytrack.fleet.MemberStatus;

/**
 * Metrics of failure detection: compares the statuses that members observed of one another with the
 * schedule of faults.
 */
public final class MembershipMetrics {

  private static final double NANOS_PER_MS = 1e6;
  private static final double NEVER_MS = 1e9;
  // Time after a pause or restart in which a member may still be refuting its death.
  private static final long RETURN_GRACE_NANOS = 3_000_000_000L;
  // Time after a partition that is not counted here; healed_ms_max measures it.
  private static final long HEALING_GRACE_NANOS = 20_000_000_000L;
  private static final long SAMPLE_INTERVAL_NANOS = 50_000_000L;

  private final Collection<String> members;
  private final FaultSchedule faults;
  private final List<MembershipSimulation.Observation> observations;
  private final long end;

  /**
   * Metrics of a run.
   *
   * @param members the members that were to run from the start
   * @param faults the schedule of faults
   * @param seen all observations; times from the start of the run
   * @param end the end of the run
   */
  public MembershipMetrics(
      Collection<String> members,
      FaultSchedule faults,
      List<MembershipSimulation.Observation> seen,
      long end) {
    this.members = members;
    this.faults = faults;
    this.observations =
        seen.stream()
            .sorted(Comparator.comparingLong(MembershipSimulation.Observation::at))
            .toList();
    this.end = end;
  }

  /** Whether a member runs and responds at a time according to the schedule. */
  private boolean isUp(String member, long time) {
    for (FaultSchedule.ProcessFault one : faults.processes()) {
      long until =
          one.durationNanos() == 0
              ? Long.MAX_VALUE
              : one.startNanos() + one.durationNanos() + RETURN_GRACE_NANOS;
      if (one.member().equals(member) && time >= one.startNanos() && time < until) {
        return false;
      }
    }
    return true;
  }

  /** Whether there is a partition, or was one until recently. */
  private boolean isPartitioned(long time) {
    return faults.links().stream()
        .anyMatch(
            one ->
                one.isPartition()
                    && time >= one.startNanos()
                    && time < one.startNanos() + one.durationNanos() + HEALING_GRACE_NANOS);
  }

  private boolean isMember(String of) {
    return members.contains(of);
  }

  /** The metrics by name: the worst time over all members, in milliseconds. */
  public Map<String, Double> compute() {
    Map<String, Double> figures = new TreeMap<>();
    figures.put("joined_ms_max", joinTime());
    for (FaultSchedule.ProcessFault one : faults.processes()) {
      if (one.kind() == FaultSchedule.ProcessFaultKind.KILL && one.durationNanos() == 0) {
        figures.merge("killed.known_ms_max", detectionTime(one, MemberStatus.DEAD), Math::max);
      } else if (one.kind() == FaultSchedule.ProcessFaultKind.END && one.durationNanos() == 0) {
        figures.merge("ended.known_ms_max", detectionTime(one, MemberStatus.LEFT), Math::max);
      }
    }
    figures.put("living.dead_ms_max", longestFalseDeath());
    if (faults.lastPartitionEnd() > 0) {
      figures.put("healed_ms_max", convergenceTime(faults.lastPartitionEnd()));
    }
    return figures;
  }

  /** The time until each member has considered each other one live for the first time. */
  private double joinTime() {
    Map<String, Long> first = new HashMap<>();
    for (MembershipSimulation.Observation one : observations) {
      if (isMember(one.observer()) && isMember(one.member()) && one.status().isLive()) {
        first.putIfAbsent(one.observer() + '>' + one.member(), one.at());
      }
    }
    int pairs = members.size() * (members.size() - 1);
    return first.size() < pairs
        ? NEVER_MS
        : first.values().stream().mapToLong(Long::longValue).max().orElse(0) / NANOS_PER_MS;
  }

  /** The time until the last member without faults has observed the status of a faulty one. */
  private double detectionTime(FaultSchedule.ProcessFault of, MemberStatus as) {
    double worst = 0;
    for (String by : members) {
      if (!by.equals(of.member())
          && faults.processes().stream().noneMatch(one -> one.member().equals(by))) {
        worst =
            Math.max(
                worst,
                observations.stream()
                        .filter(
                            one ->
                                one.at() >= of.startNanos()
                                    && one.observer().equals(by)
                                    && one.member().equals(of.member())
                                    && one.status() == as)
                        .mapToLong(one -> one.at() - of.startNanos())
                        .min()
                        .orElse((long) (NEVER_MS * NANOS_PER_MS))
                    / NANOS_PER_MS);
      }
    }
    return worst;
  }

  /**
   * The longest time for which a running member considered another running one dead or gone, not
   * counting partitions.
   */
  private double longestFalseDeath() {
    Map<String, List<MembershipSimulation.Observation>> pairs = new HashMap<>();
    for (MembershipSimulation.Observation one : observations) {
      pairs.computeIfAbsent(one.observer() + '>' + one.member(), key -> new ArrayList<>()).add(one);
    }
    long worst = 0;
    for (List<MembershipSimulation.Observation> pair : pairs.values()) {
      for (int i = 0; i < pair.size(); i++) {
        MembershipSimulation.Observation one = pair.get(i);
        long until = i + 1 < pair.size() ? pair.get(i + 1).at() : end;
        boolean wrong =
            !one.status().isLive() && isMember(one.observer()) && isMember(one.member());
        // Sampled, as either member may stop or return meanwhile.
        long held = 0;
        for (long at = one.at(); wrong && at < until; at += SAMPLE_INTERVAL_NANOS) {
          boolean counts = isUp(one.observer(), at) && isUp(one.member(), at) && !isPartitioned(at);
          held = counts ? held + Math.min(SAMPLE_INTERVAL_NANOS, until - at) : 0;
          worst = Math.max(worst, held);
        }
      }
    }
    return worst / NANOS_PER_MS;
  }

  /** The time until all running members considered each other live and continued to do so. */
  private double convergenceTime(long from) {
    Map<String, MemberStatus> held = new HashMap<>();
    long last = from;
    boolean agreed = false;
    for (int i = 0; i < observations.size(); i++) {
      MembershipSimulation.Observation one = observations.get(i);
      held.put(one.observer() + '>' + one.member(), one.status());
      boolean more = i + 1 < observations.size() && observations.get(i + 1).at() == one.at();
      if (!more) {
        boolean now = hasConverged(held, one.at());
        last = now && !agreed ? Math.max(from, one.at()) : last;
        agreed = now;
      }
    }
    return agreed ? (last - from) / NANOS_PER_MS : NEVER_MS;
  }

  private boolean hasConverged(Map<String, MemberStatus> held, long time) {
    for (String by : members) {
      for (String of : members) {
        MemberStatus standing = held.get(by + '>' + of);
        if (!by.equals(of)
            && isUp(by, time)
            && isUp(of, time)
            && (standing == null || !standing.isLive())) {
          return false;
        }
      }
    }
    return true;
  }
}
