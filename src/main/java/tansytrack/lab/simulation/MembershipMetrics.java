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
 * What members came to hold of one another, held against what was so: the membership's rules as
 * figures. Reads records only.
 */
public final class MembershipMetrics {

  private static final double NANOS_PER_MS = 1e6;
  private static final double NEVER_MS = 1e9;
  private static final long RETURN_GRACE_NANOS =
      3_000_000_000L; // behind a stop, in which a member refutes what is said of it

  private static final long HEALING_GRACE_NANOS =
      20_000_000_000L; // behind a cut, which has a figure of its own
  private static final long SAMPLE_INTERVAL_NANOS = 50_000_000L;

  private final Collection<String> members;
  private final FaultSchedule faults;
  private final List<MembershipSimulation.Observation> observations;
  private final long end;

  /**
   * Of the members that were to run from the start on; times from the start of the play, which
   * ended then.
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

  /** Does it run and answer at that time, by the schedule? */
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

  /** Is something cut, or was it until just now? */
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

  /** Figures by name; times in ms, the worst of all. */
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

  /** Until each held all others to be there for the first time. */
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

  /** Until the last of those that were up throughout held it to be that. */
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

  /** The longest that one up held another up to be dead or gone, cuts aside. */
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
        // Looked at step by step, as either may come up or go meanwhile.
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

  /** From that time until all that are up held all that are up to be there, and it stayed so. */
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
