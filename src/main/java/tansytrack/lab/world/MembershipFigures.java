package tansytrack.lab.world;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tansytrack.fleet.Standing;

/**
 * Metrics of failure detection: compares the statuses that members observed of one another with the
 * schedule of faults.
 */
public final class MembershipFigures {

  private static final double MS = 1e6;
  private static final double NEVER = 1e9;
  // Time after a pause or restart in which a member may still be refuting its death.
  private static final long RETURNING = 3_000_000_000L;
  // Time after a partition that is not counted here; healed_ms_max measures it.
  private static final long HEALING = 20_000_000_000L;
  private static final long LOOK = 50_000_000L;

  private final Collection<String> members;
  private final Faults faults;
  private final List<FleetWorld.Seen> seen;
  private final long end;

  /**
   * Metrics of a run.
   *
   * @param members the members that were to run from the start
   * @param faults the schedule of faults
   * @param seen all observations; times from the start of the run
   * @param end the end of the run
   */
  public MembershipFigures(
      Collection<String> members, Faults faults, List<FleetWorld.Seen> seen, long end) {
    this.members = members;
    this.faults = faults;
    this.seen = seen.stream().sorted(Comparator.comparingLong(FleetWorld.Seen::at)).toList();
    this.end = end;
  }

  /** Whether a member runs and responds at a time according to the schedule. */
  private boolean up(String member, long time) {
    for (Faults.ProcessTrouble one : faults.processes()) {
      long until = one.lasts() == 0 ? Long.MAX_VALUE : one.at() + one.lasts() + RETURNING;
      if (one.member().equals(member) && time >= one.at() && time < until) {
        return false;
      }
    }
    return true;
  }

  /** Whether there is a partition, or was one until recently. */
  private boolean apart(long time) {
    return faults.links().stream()
        .anyMatch(one -> one.cuts() && time >= one.at() && time < one.at() + one.lasts() + HEALING);
  }

  private boolean known(String of) {
    return members.contains(of);
  }

  /** The metrics by name: the worst time over all members, in milliseconds. */
  public Map<String, Double> figures() {
    Map<String, Double> figures = new TreeMap<>();
    figures.put("joined_ms_max", joined());
    for (Faults.ProcessTrouble one : faults.processes()) {
      if (one.kind() == Faults.Kind.KILL && one.lasts() == 0) {
        figures.merge("killed.known_ms_max", learned(one, Standing.DEAD), Math::max);
      } else if (one.kind() == Faults.Kind.END && one.lasts() == 0) {
        figures.merge("ended.known_ms_max", learned(one, Standing.LEFT), Math::max);
      }
    }
    figures.put("living.dead_ms_max", declared());
    if (faults.healed() > 0) {
      figures.put("healed_ms_max", settled(faults.healed()));
    }
    return figures;
  }

  /** The time until each member has considered each other one live for the first time. */
  private double joined() {
    Map<String, Long> first = new HashMap<>();
    for (FleetWorld.Seen one : seen) {
      if (known(one.by()) && known(one.of()) && one.standing().there()) {
        first.putIfAbsent(one.by() + '>' + one.of(), one.at());
      }
    }
    int pairs = members.size() * (members.size() - 1);
    return first.size() < pairs
        ? NEVER
        : first.values().stream().mapToLong(Long::longValue).max().orElse(0) / MS;
  }

  /** The time until the last member without faults has observed the status of a faulty one. */
  private double learned(Faults.ProcessTrouble of, Standing as) {
    double worst = 0;
    for (String by : members) {
      if (!by.equals(of.member())
          && faults.processes().stream().noneMatch(one -> one.member().equals(by))) {
        worst =
            Math.max(
                worst,
                seen.stream()
                        .filter(
                            one ->
                                one.at() >= of.at()
                                    && one.by().equals(by)
                                    && one.of().equals(of.member())
                                    && one.standing() == as)
                        .mapToLong(one -> one.at() - of.at())
                        .min()
                        .orElse((long) (NEVER * MS))
                    / MS);
      }
    }
    return worst;
  }

  /**
   * The longest time for which a running member considered another running one dead or gone, not
   * counting partitions.
   */
  private double declared() {
    Map<String, List<FleetWorld.Seen>> pairs = new HashMap<>();
    for (FleetWorld.Seen one : seen) {
      pairs.computeIfAbsent(one.by() + '>' + one.of(), key -> new ArrayList<>()).add(one);
    }
    long worst = 0;
    for (List<FleetWorld.Seen> pair : pairs.values()) {
      for (int i = 0; i < pair.size(); i++) {
        FleetWorld.Seen one = pair.get(i);
        long until = i + 1 < pair.size() ? pair.get(i + 1).at() : end;
        boolean wrong = !one.standing().there() && known(one.by()) && known(one.of());
        // Sampled, as either member may stop or return meanwhile.
        long held = 0;
        for (long at = one.at(); wrong && at < until; at += LOOK) {
          boolean counts = up(one.by(), at) && up(one.of(), at) && !apart(at);
          held = counts ? held + Math.min(LOOK, until - at) : 0;
          worst = Math.max(worst, held);
        }
      }
    }
    return worst / MS;
  }

  /** The time until all running members considered each other live and continued to do so. */
  private double settled(long from) {
    Map<String, Standing> held = new HashMap<>();
    long last = from;
    boolean agreed = false;
    for (int i = 0; i < seen.size(); i++) {
      FleetWorld.Seen one = seen.get(i);
      held.put(one.by() + '>' + one.of(), one.standing());
      boolean more = i + 1 < seen.size() && seen.get(i + 1).at() == one.at();
      if (!more) {
        boolean now = agreed(held, one.at());
        last = now && !agreed ? Math.max(from, one.at()) : last;
        agreed = now;
      }
    }
    return agreed ? (last - from) / MS : NEVER;
  }

  private boolean agreed(Map<String, Standing> held, long time) {
    for (String by : members) {
      for (String of : members) {
        Standing standing = held.get(by + '>' + of);
        if (!by.equals(of)
            && up(by, time)
            && up(of, time)
            && (standing == null || !standing.there())) {
          return false;
        }
      }
    }
    return true;
  }
}
