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

  private final Rules rules;
  private final LocalState local;
  private final Outbox outbox;
  private final Facts facts;
  private final SplittableRandom chance;
  private final TreeMap<String, Member> members = new TreeMap<>();
  private final TreeSet<Member> suspects =
      new TreeSet<>(
          comparingLong((Member one) -> one.suspectedAt).thenComparing(one -> one.word.name()));
  // Members still to be probed in the present round.
  private final List<Member> round = new ArrayList<>();
  private long changes;
  private int inPlace = 1;

  MemberTable(Rules rules, LocalState local, Outbox outbox, Facts facts, SplittableRandom chance) {
    this.rules = rules;
    this.local = local;
    this.outbox = outbox;
    this.facts = facts;
    this.chance = chance;
  }

  View view() {
    return new View(changes, local.there, inPlace);
  }

  /** The member with that name, or null. */
  Member get(String name) {
    return members.get(name);
  }

  /** All other members, ordered by name. */
  Collection<Member> all() {
    return members.values();
  }

  /** The states of the members whose names are equal to or greater than the given one. */
  Iterable<Word> from(String name) {
    return () -> members.tailMap(name).values().stream().map(one -> one.word).iterator();
  }

  /** Declares the members dead that have not refuted their suspicion in time. */
  void endSuspicions() {
    while (!suspects.isEmpty() && nextEnd() <= local.now) {
      Member late = suspects.stream().min(comparingLong(this::endOf)).orElseThrow();
      hold(late, late.word.as(Standing.DEAD, local.self.name()));
    }
  }

  /** Extends all suspicions by a duration. */
  void postponeSuspicions(long by) {
    List<Member> all = new ArrayList<>(suspects);
    suspects.clear();
    for (Member one : all) {
      one.suspectedAt += by;
      suspects.add(one);
    }
  }

  /** Removes members that have been dead or gone for longer than the retention time. */
  void forgetGone() {
    members
        .values()
        .removeIf(
            one -> !one.word.standing().there() && local.now - one.since > rules.forgetAfter());
  }

  /** Merges a received state of another member. */
  void merge(Word word) {
    Member member = members.get(word.name());
    if (member == null) {
      if (!word.standing().there()) {
        // An unknown member that is already gone is not worth tracking.
        return;
      }
      if (members.size() >= rules.mostMembers()) {
        local.count("too_many");
        return;
      }
      member = new Member(word.as(Standing.ALIVE, ""), local.now);
      members.put(word.name(), member);
      round.add(chance.nextInt(round.size() + 1), member);
      changed(null, member.word);
    }
    if (word.overrules(member.word)) {
      boolean later = !word.sameTerm(member.word);
      switch (word.standing()) {
        case ALIVE, LEFT -> hold(member, word);
        case SUSPECT -> {
          if (later) {
            hold(member, word.as(Standing.ALIVE, ""));
          }
          accuse(member, word.by());
        }
        case DEAD -> declaredDead(member, word, later);
        default -> throw new IllegalStateException();
      }
    } else if (word.sameTerm(member.word)
        && word.standing() == Standing.SUSPECT
        && member.word.standing() == Standing.SUSPECT) {
      accuse(member, word.by());
    }
  }

  private void declaredDead(Member member, Word word, boolean later) {
    // A death declared on the other side of a partition is only suspected here, so that a member
    // that is live on this side has time to refute it.
    if (later && member.word.standing().there()) {
      hold(member, word.as(Standing.ALIVE, ""));
    }
    if (!member.word.standing().there()
        || (member.word.standing() == Standing.SUSPECT
            && local.now - member.suspectedAt >= least())) {
      hold(member, word);
    } else {
      accuse(member, word.by());
    }
  }

  /**
   * Records that a member was reported not to respond. Each further independent report shortens the
   * time that the member has to refute the suspicion.
   */
  void accuse(Member member, String accuser) {
    if (member.word.standing() == Standing.ALIVE) {
      member.suspectedAt = local.now;
      hold(member, member.word.as(Standing.SUSPECT, accuser));
      member.accusers.add(accuser);
    } else if (member.word.standing() == Standing.SUSPECT
        && member.accusers.size() <= rules.helpers()
        && member.accusers.add(accuser)) {
      outbox.tell(member.word.as(Standing.SUSPECT, accuser));
    }
  }

  /** Replaces the state of a member; all changes of known members pass through here. */
  private void hold(Member member, Word next) {
    Word before = member.word;
    suspects.remove(member);
    member.word = next;
    member.since =
        before.standing() == next.standing() && before.life() == next.life()
            ? member.since
            : local.now;
    if (next.standing() == Standing.SUSPECT) {
      suspects.add(member);
    } else {
      member.accusers.clear();
    }
    if (!next.standing().there()) {
      facts.drop(next.name());
    }
    changed(before, next);
  }

  private void changed(Word before, Word after) {
    outbox.tell(after);
    int more =
        (after.standing().there() ? 1 : 0) - (before != null && before.standing().there() ? 1 : 0);
    local.there += more;
    boolean was =
        before != null && before.standing().there() && before.place().equals(local.self.place());
    boolean is = after.standing().there() && after.place().equals(local.self.place());
    inPlace += (is ? 1 : 0) - (was ? 1 : 0);
    changes += more != 0 || was != is ? 1 : 0;
    outbox.add(new Action.Changed(before, after));
  }

  private long least() {
    return (long) (rules.least() * Math.max(1, Math.log10(local.there)) * rules.period());
  }

  /**
   * The deadline of a suspicion. It decreases with the logarithm of the number of reports, and is
   * extended in proportion to this member's local health score.
   */
  private long endOf(Member member) {
    int expected = Math.min(rules.helpers(), Math.max(0, local.there - 2));
    double part = expected == 0 ? 1 : Math.log(member.accusers.size()) / Math.log(expected + 1);
    double times = rules.most() - (rules.most() - 1) * Math.min(1, Math.max(0, part));
    return member.suspectedAt + ((long) (least() * times)) * (1 + local.health);
  }

  /** The earliest deadline of all suspicions. */
  long nextEnd() {
    return suspects.stream().mapToLong(this::endOf).min().orElse(Long.MAX_VALUE);
  }

  /**
   * The next member to probe, or null if there is none. Round robin in an order that is shuffled
   * for each round, so that a member waits two rounds at most.
   */
  Member next() {
    for (int rounds = 0; rounds < 2; rounds++) {
      while (!round.isEmpty()) {
        Member one = round.remove(round.size() - 1);
        if (members.get(one.word.name()) == one && one.word.standing().there()) {
          return one;
        }
      }
      members.values().stream().filter(one -> one.word.standing().there()).forEach(round::add);
      shuffle(round);
    }
    return null;
  }

  /** Shuffles a list, in an order that depends on the seed. */
  void shuffle(List<?> list) {
    for (int i = list.size() - 1; i > 0; i--) {
      Collections.swap(list, i, chance.nextInt(i + 1));
    }
  }

  /** Up to that many random live members. */
  List<Member> some(int count, Member except) {
    List<Member> all =
        new ArrayList<>(
            members.values().stream()
                .filter(one -> one.word.standing().there() && one != except)
                .toList());
    shuffle(all);
    return all.subList(0, Math.min(count, all.size()));
  }
}
