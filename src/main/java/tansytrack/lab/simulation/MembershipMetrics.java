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
   * @param observations all observations; times from the start of the run
   * @param end the end of the run
   */
  public MembershipMetrics(
      Collection<String> members,
      FaultSchedule faults,
      List<MembershipSimulation.Observation> observations,
      long end) {
    this.members = members;
    this.faults = faults;
    this.observations =
        observations.stream()
            .sorted(Comparator.comparingLong(MembershipSimulation.Observation::at))
            .toList();
    this.end = end;
  }

  /** Whether a member runs and responds at a time according to the schedule. */
  private boolean isUp(String member, long time) {
    for (FaultSchedule.ProcessFault fault : faults.processes()) {
      long back =
          fault.durationNanos() == 0
              ? Long.MAX_VALUE
              : fault.startNanos() + fault.durationNanos() + RETURN_GRACE_NANOS;
      if (fault.member().equals(member) && time >= fault.startNanos() && time < back) {
        return false;
      }
    }
    return true;
  }

  /** Whether there is a partition, or was one until recently. */
  private boolean isPartitioned(long time) {
    return faults.links().stream()
        .anyMatch(
            fault ->
                fault.isPartition()
                    && time >= fault.startNanos()
                    && time < fault.startNanos() + fault.durationNanos() + HEALING_GRACE_NANOS);
  }

  private boolean isMember(String name) {
    return members.contains(name);
  }

  /** The metrics by name: the worst time over all members, in milliseconds. */
  public Map<String, Double> compute() {
    Map<String, Double> metrics = new TreeMap<>();
    metrics.put("joined_ms_max", joinTime());
    for (FaultSchedule.ProcessFault fault : faults.processes()) {
      if (fault.kind() == FaultSchedule.ProcessFaultKind.KILL && fault.durationNanos() == 0) {
        metrics.merge("killed.known_ms_max", detectionTime(fault, MemberStatus.DEAD), Math::max);
      } else if (fault.kind() == FaultSchedule.ProcessFaultKind.END && fault.durationNanos() == 0) {
        metrics.merge("ended.known_ms_max", detectionTime(fault, MemberStatus.LEFT), Math::max);
      }
    }
    metrics.put("living.dead_ms_max", longestFalseDeath());
    if (faults.lastPartitionEnd() > 0) {
      metrics.put("healed_ms_max", convergenceTime(faults.lastPartitionEnd()));
    }
    return metrics;
  }

  /** The time until each member has considered each other one live for the first time. */
  private double joinTime() {
    Map<String, Long> firstSeenLive = new HashMap<>();
    for (MembershipSimulation.Observation observation : observations) {
      if (isMember(observation.observer())
          && isMember(observation.member())
          && observation.status().isLive()) {
        firstSeenLive.putIfAbsent(
            observation.observer() + '>' + observation.member(), observation.at());
      }
    }
    int pairs = members.size() * (members.size() - 1);
    return firstSeenLive.size() < pairs
        ? NEVER_MS
        : firstSeenLive.values().stream().mapToLong(Long::longValue).max().orElse(0) / NANOS_PER_MS;
  }

  /** The time until the last member without faults has observed the status of a faulty one. */
  private double detectionTime(FaultSchedule.ProcessFault fault, MemberStatus expected) {
    double worst = 0;
    for (String observer : members) {
      if (!observer.equals(fault.member())
          && faults.processes().stream().noneMatch(entry -> entry.member().equals(observer))) {
        worst =
            Math.max(
                worst,
                observations.stream()
                        .filter(
                            entry ->
                                entry.at() >= fault.startNanos()
                                    && entry.observer().equals(observer)
                                    && entry.member().equals(fault.member())
                                    && entry.status() == expected)
                        .mapToLong(entry -> entry.at() - fault.startNanos())
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
    Map<String, List<MembershipSimulation.Observation>> byPair = new HashMap<>();
    for (MembershipSimulation.Observation observation : observations) {
      byPair
          .computeIfAbsent(
              observation.observer() + '>' + observation.member(), key -> new ArrayList<>())
          .add(observation);
    }
    long worst = 0;
    for (List<MembershipSimulation.Observation> pair : byPair.values()) {
      for (int i = 0; i < pair.size(); i++) {
        MembershipSimulation.Observation observation = pair.get(i);
        long until = i + 1 < pair.size() ? pair.get(i + 1).at() : end;
        boolean wrong =
            !observation.status().isLive()
                && isMember(observation.observer())
                && isMember(observation.member());
        // Sampled, as either member may stop or return meanwhile.
        long duration = 0;
        for (long at = observation.at(); wrong && at < until; at += SAMPLE_INTERVAL_NANOS) {
          boolean counts =
              isUp(observation.observer(), at)
                  && isUp(observation.member(), at)
                  && !isPartitioned(at);
          duration = counts ? duration + Math.min(SAMPLE_INTERVAL_NANOS, until - at) : 0;
          worst = Math.max(worst, duration);
        }
      }
    }
    return worst / NANOS_PER_MS;
  }

  /** The time until all running members considered each other live and continued to do so. */
  private double convergenceTime(long from) {
    Map<String, MemberStatus> statuses = new HashMap<>();
    long convergedAt = from;
    boolean converged = false;
    for (int i = 0; i < observations.size(); i++) {
      MembershipSimulation.Observation observation = observations.get(i);
      statuses.put(observation.observer() + '>' + observation.member(), observation.status());
      boolean moreAtSameTime =
          i + 1 < observations.size() && observations.get(i + 1).at() == observation.at();
      if (!moreAtSameTime) {
        boolean convergedNow = hasConverged(statuses, observation.at());
        convergedAt = convergedNow && !converged ? Math.max(from, observation.at()) : convergedAt;
        converged = convergedNow;
      }
    }
    return converged ? (convergedAt - from) / NANOS_PER_MS : NEVER_MS;
  }

  private boolean hasConverged(Map<String, MemberStatus> statuses, long time) {
    for (String observer : members) {
      for (String member : members) {
        MemberStatus status = statuses.get(observer + '>' + member);
        if (!observer.equals(member)
            && isUp(observer, time)
            && isUp(member, time)
            && (status == null || !status.isLive())) {
          return false;
        }
      }
    }
    return true;
  }
}
