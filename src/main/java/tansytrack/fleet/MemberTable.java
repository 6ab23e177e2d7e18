package tansytrack.fleet;

import static java.util.Comparator.comparingLong;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/** All other known members: their states, the deadlines of suspicions, and the probe order. */
final class MemberTable {

  private final MembershipConfig config;
  private final LocalState local;
  private final Outbox outbox;
  private final FactStore facts;
  private final SplittableRandom random;
  private final TreeMap<String, Member> members = new TreeMap<>();
  private final TreeSet<Member> suspectedMembers =
      new TreeSet<>(
          comparingLong((Member member) -> member.suspectedAt)
              .thenComparing(member -> member.state.name()));
  // Members still to be probed in the current round.
  private final List<Member> probeOrder = new ArrayList<>();
  private long version;
  private int liveMembersInZone = 1;

  MemberTable(
      MembershipConfig config,
      LocalState local,
      Outbox outbox,
      FactStore facts,
      SplittableRandom random) {
    this.config = config;
    this.local = local;
    this.outbox = outbox;
    this.facts = facts;
    this.random = random;
  }

  MembershipView view() {
    return new MembershipView(version, local.liveMembers, liveMembersInZone);
  }

  /** Returns the member with the given name, or null if there is none. */
  Member get(String name) {
    return members.get(name);
  }

  /** Returns all other members, ordered by name. */
  Collection<Member> all() {
    return members.values();
  }

  /** Returns the states of the members whose names are equal to or greater than the given one. */
  Iterable<MemberState> statesFrom(String name) {
    return () -> members.tailMap(name).values().stream().map(member -> member.state).iterator();
  }

  /** Declares dead the members that have not refuted their suspicion in time. */
  void expireSuspicions() {
    while (!suspectedMembers.isEmpty() && nextSuspicionDeadline() <= local.now) {
      Member expired =
          suspectedMembers.stream().min(comparingLong(this::suspicionDeadline)).orElseThrow();
      setState(expired, expired.state.withStatus(MemberStatus.DEAD, local.self.name()));
    }
  }

  /** Extends the deadlines of all suspicions by the given time. */
  void postponeSuspicions(long nanos) {
    List<Member> postponed = new ArrayList<>(suspectedMembers);
    suspectedMembers.clear();
    for (Member member : postponed) {
      member.suspectedAt += nanos;
      suspectedMembers.add(member);
    }
  }

  /** Removes members that have been dead or left for longer than the retention time. */
  void forgetGone() {
    members
        .values()
        .removeIf(
            member ->
                !member.state.status().isLive()
                    && local.now - member.statusSince > config.goneRetentionNanos());
  }

  /** Merges a received state of another member. */
  void merge(MemberState state) {
    Member member = members.get(state.name());
    if (member == null) {
      if (!state.status().isLive()) {
        // An unknown member that is already dead or left is not worth tracking.
        return;
      }
      if (members.size() >= config.maxMembers()) {
        local.count("too_many");
        return;
      }
      member = new Member(state.withStatus(MemberStatus.ALIVE, ""), local.now);
      members.put(state.name(), member);
      probeOrder.add(random.nextInt(probeOrder.size() + 1), member);
      publishChange(null, member.state);
    }
    if (state.supersedes(member.state)) {
      boolean isNewIncarnation = !state.isSameIncarnation(member.state);
      switch (state.status()) {
        case ALIVE, LEFT -> setState(member, state);
        case SUSPECT -> {
          if (isNewIncarnation) {
            setState(member, state.withStatus(MemberStatus.ALIVE, ""));
          }
          suspect(member, state.reportedBy());
        }
        case DEAD -> mergeDead(member, state, isNewIncarnation);
        default -> throw new IllegalStateException();
      }
    } else if (state.isSameIncarnation(member.state)
        && state.status() == MemberStatus.SUSPECT
        && member.state.status() == MemberStatus.SUSPECT) {
      suspect(member, state.reportedBy());
    }
  }

  private void mergeDead(Member member, MemberState state, boolean isNewIncarnation) {
    // A death declared on the other side of a partition is only suspected here, so that a member
    // that is live on this side has time to refute it.
    if (isNewIncarnation && member.state.status().isLive()) {
      setState(member, state.withStatus(MemberStatus.ALIVE, ""));
    }
    if (!member.state.status().isLive()
        || (member.state.status() == MemberStatus.SUSPECT
            && local.now - member.suspectedAt >= minSuspicionNanos())) {
      setState(member, state);
    } else {
      suspect(member, state.reportedBy());
    }
  }

  /**
   * Records that a member was reported not to respond. Each further independent report shortens the
   * time that the member has to refute the suspicion.
   */
  void suspect(Member member, String reporter) {
    if (member.state.status() == MemberStatus.ALIVE) {
      member.suspectedAt = local.now;
      setState(member, member.state.withStatus(MemberStatus.SUSPECT, reporter));
      member.suspectors.add(reporter);
    } else if (member.state.status() == MemberStatus.SUSPECT
        && member.suspectors.size() <= config.indirectProbes()
        && member.suspectors.add(reporter)) {
      outbox.gossip(member.state.withStatus(MemberStatus.SUSPECT, reporter));
    }
  }

  /** Replaces the state of a member; all changes of known members pass through here. */
  private void setState(Member member, MemberState after) {
    MemberState before = member.state;
    suspectedMembers.remove(member);
    member.state = after;
    member.statusSince =
        before.status() == after.status() && before.instanceId() == after.instanceId()
            ? member.statusSince
            : local.now;
    if (after.status() == MemberStatus.SUSPECT) {
      suspectedMembers.add(member);
    } else {
      member.suspectors.clear();
    }
    if (!after.status().isLive()) {
      facts.removeOwnedBy(after.name());
    }
    publishChange(before, after);
  }

  private void publishChange(MemberState before, MemberState after) {
    outbox.gossip(after);
    int liveDelta =
        (after.status().isLive() ? 1 : 0) - (before != null && before.status().isLive() ? 1 : 0);
    local.liveMembers += liveDelta;
    boolean wasInZone =
        before != null && before.status().isLive() && before.zone().equals(local.self.zone());
    boolean isInZone = after.status().isLive() && after.zone().equals(local.self.zone());
    liveMembersInZone += (isInZone ? 1 : 0) - (wasInZone ? 1 : 0);
    version += liveDelta != 0 || wasInZone != isInZone ? 1 : 0;
    outbox.add(new Action.MemberChanged(before, after));
  }

  private long minSuspicionNanos() {
    return (long)
        (config.suspicionMultiplier()
            * Math.max(1, Math.log10(local.liveMembers))
            * config.probeIntervalNanos());
  }

  /**
   * Returns the deadline of a suspicion. It decreases with the logarithm of the number of reports,
   * and is extended in proportion to this member's local health score.
   */
  private long suspicionDeadline(Member member) {
    int expectedReports = Math.min(config.indirectProbes(), Math.max(0, local.liveMembers - 2));
    double reduction =
        expectedReports == 0
            ? 1
            : Math.log(member.suspectors.size()) / Math.log(expectedReports + 1);
    double multiplier =
        config.maxSuspicionMultiplier()
            - (config.maxSuspicionMultiplier() - 1) * Math.min(1, Math.max(0, reduction));
    return member.suspectedAt
        + ((long) (minSuspicionNanos() * multiplier)) * (1 + local.healthScore);
  }

  /** Returns the earliest deadline of all suspicions; Long.MAX_VALUE if there are none. */
  long nextSuspicionDeadline() {
    return suspectedMembers.stream()
        .mapToLong(this::suspicionDeadline)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /**
   * Returns the next member to probe, or null if there is none. Members are probed in rounds, in an
   * order that is shuffled for each round, so that a member waits two rounds at most.
   */
  Member nextProbeTarget() {
    for (int rounds = 0; rounds < 2; rounds++) {
      while (!probeOrder.isEmpty()) {
        Member member = probeOrder.remove(probeOrder.size() - 1);
        if (members.get(member.state.name()) == member && member.state.status().isLive()) {
          return member;
        }
      }
      members.values().stream()
          .filter(member -> member.state.status().isLive())
          .forEach(probeOrder::add);
      shuffle(probeOrder);
    }
    return null;
  }

  /** Shuffles a list, in an order that depends on the seed. */
  void shuffle(List<?> list) {
    for (int i = list.size() - 1; i > 0; i--) {
      Collections.swap(list, i, random.nextInt(i + 1));
    }
  }

  /** Returns at most {@code count} random live members other than {@code excluded}. */
  List<Member> randomLiveMembers(int count, Member excluded) {
    List<Member> candidates =
        new ArrayList<>(
            members.values().stream()
                .filter(member -> member.state.status().isLive() && member != excluded)
                .toList());
    shuffle(candidates);
    return candidates.subList(0, Math.min(count, candidates.size()));
  }
}
