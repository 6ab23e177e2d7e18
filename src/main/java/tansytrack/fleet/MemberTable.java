package tansytrack.fleet;

import static java.util.Comparator.comparingLong;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What a member holds of all others: who is there, who is suspected and until when, and in which
 * order they are probed.
 */
final class MemberTable {

  private final MembershipConfig config;
  private final LocalState local;
  private final Outbox outbox;
  private final FactStore facts;
  private final SplittableRandom random;
  private final TreeMap<String, Member> members = new TreeMap<>();
  private final TreeSet<Member> suspects =
      new TreeSet<>(
          comparingLong((Member one) -> one.suspectedAt).thenComparing(one -> one.state.name()));
  private final List<Member> probeOrder =
      new ArrayList<>(); // who is still to be probed in this one
  private long version;
  private int liveMembersInZone = 1;

  MemberTable(
      MembershipConfig rules,
      LocalState local,
      Outbox outbox,
      FactStore facts,
      SplittableRandom chance) {
    this.config = rules;
    this.local = local;
    this.outbox = outbox;
    this.facts = facts;
    this.random = chance;
  }

  MembershipView view() {
    return new MembershipView(version, local.liveMembers, liveMembersInZone);
  }

  /** What is held of a member, or null. */
  Member get(String name) {
    return members.get(name);
  }

  /** All members, by name. */
  Collection<Member> all() {
    return members.values();
  }

  /** What is held of the members from that name on. */
  Iterable<MemberState> statesFrom(String name) {
    return () -> members.tailMap(name).values().stream().map(one -> one.state).iterator();
  }

  /** Declares dead whose time to refute it is over. */
  void expireSuspicions() {
    while (!suspects.isEmpty() && nextSuspicionDeadline() <= local.now) {
      Member late = suspects.stream().min(comparingLong(this::suspicionDeadline)).orElseThrow();
      setState(late, late.state.withStatus(MemberStatus.DEAD, local.self.name()));
    }
  }

  /** Lets all suspicions last so much longer. */
  void postponeSuspicions(long by) {
    List<Member> all = new ArrayList<>(suspects);
    suspects.clear();
    for (Member one : all) {
      one.suspectedAt += by;
      suspects.add(one);
    }
  }

  /** Forgets who has been gone for long. */
  void forgetGone() {
    members
        .values()
        .removeIf(
            one ->
                !one.state.status().isLive()
                    && local.now - one.statusSince > config.goneRetentionNanos());
  }

  /** Takes what is said of another member. */
  void merge(MemberState word) {
    Member member = members.get(word.name());
    if (member == null) {
      if (!word.status().isLive()) {
        return; // it was never known here, and is gone
      }
      if (members.size() >= config.maxMembers()) {
        local.count("too_many");
        return;
      }
      member = new Member(word.withStatus(MemberStatus.ALIVE, ""), local.now);
      members.put(word.name(), member);
      probeOrder.add(random.nextInt(probeOrder.size() + 1), member);
      publishChange(null, member.state);
    }
    if (word.supersedes(member.state)) {
      boolean later = !word.isSameIncarnation(member.state);
      switch (word.status()) {
        case ALIVE, LEFT -> setState(member, word);
        case SUSPECT -> {
          if (later) {
            setState(member, word.withStatus(MemberStatus.ALIVE, ""));
          }
          suspect(member, word.reportedBy());
        }
        case DEAD -> mergeDead(member, word, later);
        default -> throw new IllegalStateException();
      }
    } else if (word.isSameIncarnation(member.state)
        && word.status() == MemberStatus.SUSPECT
        && member.state.status() == MemberStatus.SUSPECT) {
      suspect(member, word.reportedBy());
    }
  }

  private void mergeDead(Member member, MemberState word, boolean later) {
    // Guards against the dead of another half of the fleet: who is there here gets time to
    // refute it.
    if (later && member.state.status().isLive()) {
      setState(member, word.withStatus(MemberStatus.ALIVE, ""));
    }
    if (!member.state.status().isLive()
        || (member.state.status() == MemberStatus.SUSPECT
            && local.now - member.suspectedAt >= minSuspicionNanos())) {
      setState(member, word);
    } else {
      suspect(member, word.reportedBy());
    }
  }

  /**
   * Somebody says that it does not answer; more independent ones shorten the time it has to refute
   * that.
   */
  void suspect(Member member, String accuser) {
    if (member.state.status() == MemberStatus.ALIVE) {
      member.suspectedAt = local.now;
      setState(member, member.state.withStatus(MemberStatus.SUSPECT, accuser));
      member.suspectors.add(accuser);
    } else if (member.state.status() == MemberStatus.SUSPECT
        && member.suspectors.size() <= config.indirectProbes()
        && member.suspectors.add(accuser)) {
      outbox.gossip(member.state.withStatus(MemberStatus.SUSPECT, accuser));
    }
  }

  /** The one place where something else is held of a member. */
  private void setState(Member member, MemberState next) {
    MemberState before = member.state;
    suspects.remove(member);
    member.state = next;
    member.statusSince =
        before.status() == next.status() && before.instanceId() == next.instanceId()
            ? member.statusSince
            : local.now;
    if (next.status() == MemberStatus.SUSPECT) {
      suspects.add(member);
    } else {
      member.suspectors.clear();
    }
    if (!next.status().isLive()) {
      facts.removeOwnedBy(next.name());
    }
    publishChange(before, next);
  }

  private void publishChange(MemberState before, MemberState after) {
    outbox.gossip(after);
    int more =
        (after.status().isLive() ? 1 : 0) - (before != null && before.status().isLive() ? 1 : 0);
    local.liveMembers += more;
    boolean was =
        before != null && before.status().isLive() && before.zone().equals(local.self.zone());
    boolean is = after.status().isLive() && after.zone().equals(local.self.zone());
    liveMembersInZone += (is ? 1 : 0) - (was ? 1 : 0);
    version += more != 0 || was != is ? 1 : 0;
    outbox.add(new Action.MemberChanged(before, after));
  }

  private long minSuspicionNanos() {
    return (long)
        (config.suspicionMultiplier()
            * Math.max(1, Math.log10(local.liveMembers))
            * config.probeIntervalNanos());
  }

  /**
   * When a suspicion ends: the sooner the more have said it, by the logarithm; later while this one
   * doubts itself.
   */
  private long suspicionDeadline(Member member) {
    int expected = Math.min(config.indirectProbes(), Math.max(0, local.liveMembers - 2));
    double part = expected == 0 ? 1 : Math.log(member.suspectors.size()) / Math.log(expected + 1);
    double times =
        config.maxSuspicionMultiplier()
            - (config.maxSuspicionMultiplier() - 1) * Math.min(1, Math.max(0, part));
    return member.suspectedAt + ((long) (minSuspicionNanos() * times)) * (1 + local.healthScore);
  }

  /** When the next suspicion ends, if nothing is heard until then. */
  long nextSuspicionDeadline() {
    return suspects.stream().mapToLong(this::suspicionDeadline).min().orElse(Long.MAX_VALUE);
  }

  /**
   * Round robin in an order drawn anew each round, so that each is probed within two rounds at
   * most.
   */
  Member nextProbeTarget() {
    for (int rounds = 0; rounds < 2; rounds++) {
      while (!probeOrder.isEmpty()) {
        Member one = probeOrder.remove(probeOrder.size() - 1);
        if (members.get(one.state.name()) == one && one.state.status().isLive()) {
          return one;
        }
      }
      members.values().stream().filter(one -> one.state.status().isLive()).forEach(probeOrder::add);
      shuffle(probeOrder);
    }
    return null;
  }

  /** Puts a list into an order drawn from the seed. */
  void shuffle(List<?> list) {
    for (int i = list.size() - 1; i > 0; i--) {
      Collections.swap(list, i, random.nextInt(i + 1));
    }
  }

  /** Some of those that are there, drawn. */
  List<Member> randomLiveMembers(int count, Member except) {
    List<Member> all =
        new ArrayList<>(
            members.values().stream()
                .filter(one -> one.state.status().isLive() && one != except)
                .toList());
    shuffle(all);
    return all.subList(0, Math.min(count, all.size()));
  }
}
