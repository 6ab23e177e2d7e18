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

  private final Rules rules;
  private final LocalState local;
  private final Outbox outbox;
  private final Facts facts;
  private final SplittableRandom chance;
  private final TreeMap<String, Member> members = new TreeMap<>();
  private final TreeSet<Member> suspects =
      new TreeSet<>(
          comparingLong((Member one) -> one.suspectedAt).thenComparing(one -> one.word.name()));
  private final List<Member> round = new ArrayList<>(); // who is still to be probed in this one
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

  /** What is held of a member, or null. */
  Member get(String name) {
    return members.get(name);
  }

  /** All members, by name. */
  Collection<Member> all() {
    return members.values();
  }

  /** What is held of the members from that name on. */
  Iterable<Word> from(String name) {
    return () -> members.tailMap(name).values().stream().map(one -> one.word).iterator();
  }

  /** Declares dead whose time to refute it is over. */
  void endSuspicions() {
    while (!suspects.isEmpty() && nextEnd() <= local.now) {
      Member late = suspects.stream().min(comparingLong(this::endOf)).orElseThrow();
      hold(late, late.word.as(Standing.DEAD, local.self.name()));
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
            one -> !one.word.standing().there() && local.now - one.since > rules.forgetAfter());
  }

  /** Takes what is said of another member. */
  void merge(Word word) {
    Member member = members.get(word.name());
    if (member == null) {
      if (!word.standing().there()) {
        return; // it was never known here, and is gone
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
    // Guards against the dead of another half of the fleet: who is there here gets time to
    // refute it.
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
   * Somebody says that it does not answer; more independent ones shorten the time it has to refute
   * that.
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

  /** The one place where something else is held of a member. */
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
   * When a suspicion ends: the sooner the more have said it, by the logarithm; later while this one
   * doubts itself.
   */
  private long endOf(Member member) {
    int expected = Math.min(rules.helpers(), Math.max(0, local.there - 2));
    double part = expected == 0 ? 1 : Math.log(member.accusers.size()) / Math.log(expected + 1);
    double times = rules.most() - (rules.most() - 1) * Math.min(1, Math.max(0, part));
    return member.suspectedAt + ((long) (least() * times)) * (1 + local.health);
  }

  /** When the next suspicion ends, if nothing is heard until then. */
  long nextEnd() {
    return suspects.stream().mapToLong(this::endOf).min().orElse(Long.MAX_VALUE);
  }

  /**
   * Round robin in an order drawn anew each round, so that each is probed within two rounds at
   * most.
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

  /** Puts a list into an order drawn from the seed. */
  void shuffle(List<?> list) {
    for (int i = list.size() - 1; i > 0; i--) {
      Collections.swap(list, i, chance.nextInt(i + 1));
    }
  }

  /** Some of those that are there, drawn. */
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
