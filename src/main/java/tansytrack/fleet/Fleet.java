package tansytrack.fleet;

import static java.util.Comparator.comparingLong;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The membership as one member sees it: SWIM with the refinements that docs/fleet.md lists. It
 * hears letters and that time passes, and gives back what is to be done; no I/O, no clock, no
 * thread. One instance a member, on one thread.
 */
public final class Fleet {

  private static final int TELL_PART =
      3; // each rumour goes out so often, times the binary logarithm
  private static final int MOST_HEALTH = 8; // probes and suspicions take up to so many times longer
  private static final int FEW =
      32; // members, beyond which full exchanges are rarer: each is longer
  private static final int REACH_EVERY = 3; // periods between tries to reach the dead and the seeds
  private static final int MOST_SEEDS = 3; // that are tried at once
  private static final int MOST_RELAYS = 256;
  private static final long TWIN_PAUSE =
      60_000_000_000L; // between two attempts to hold a name that another uses too
  private static final long SECOND = 1_000_000_000L;
  private static final String FACTS = "~"; // before the keys of facts in pages: behind all names

  private final Rules rules;
  private final SplittableRandom chance;
  private final TreeMap<String, Member> members = new TreeMap<>();
  private final TreeSet<Member> suspects =
      new TreeSet<>(
          comparingLong((Member one) -> one.suspectedAt).thenComparing(one -> one.word.name()));
  private final Rumours<Word> words = new Rumours<>(Word::bytes);
  private final Rumours<Fact> factsToTell = new Rumours<>(Fact::bytes);
  private final Facts facts;
  private final List<Member> round = new ArrayList<>(); // who is still to be probed in this one
  private final LinkedHashMap<Long, Relay> relays =
      new LinkedHashMap<>(); // all wait as long: the oldest ends first
  private final Map<String, Long> counts = new TreeMap<>();
  private final Map<Long, Long> outbid =
      new HashMap<>(); // by life: the incarnation with which this one overruled it
  private List<Action> actions = new ArrayList<>();
  private Word self;
  private long now;
  private long sequence;
  private long number; // of letters sent
  private long factNumber;
  private long periods;
  private long nextPeriod;
  private int health; // 0: well; else this one doubts itself
  private Probe probe;
  private Exchange exchange;
  private long exchangeAt;
  private long twinAt = Long.MIN_VALUE;
  private long secondFrom;
  private int secondBytes;
  private long changes;
  private int there = 1;
  private int inPlace = 1;

  private static final class Probe {
    final Member target;
    final long sequence;
    final long askAt;
    int asked; // helpers
    int refusals; // of those: they say that they got no answer either
    boolean answered;
    boolean helped;

    Probe(Member target, long sequence, long askAt) {
      this.target = target;
      this.sequence = sequence;
      this.askAt = askAt;
    }
  }

  /** A probe made for another: whom to tell, under which of its numbers, until when. */
  private record Relay(String to, long sequence, String target, long until) {}

  /** A full exchange that this member leads, page by page. */
  private record Exchange(String address, long sequence, String from, int tries, long until) {}

  /** A membership that knows itself alone; everything random in it comes from the seed. */
  public Fleet(Rules rules, Word self, long seed, long now) {
    this.rules = rules;
    this.self = self;
    this.now = now;
    chance = new SplittableRandom(seed);
    facts = new Facts(rules.mostFacts());
    // Not all of a fleet that starts at once in the same moment.
    nextPeriod = now + (long) (chance.nextDouble() * rules.period());
    exchangeAt = now + rules.exchangeEvery();
  }

  // ---- What is asked of it ----

  /** How many members are thought to run now; the number changes with each change. */
  public View view() {
    return new View(changes, there, inPlace);
  }

  /** What this member says of itself. */
  public Word self() {
    return self;
  }

  /** All others that are known, by name. */
  public List<Word> others() {
    return members.values().stream().map(one -> one.word).toList();
  }

  /** Since when that is held of a member; -1: it is not known. */
  public long since(String name) {
    Member member = members.get(name);
    return member == null ? -1 : member.since;
  }

  /** The facts that members pass on to each other. */
  public Facts facts() {
    return facts;
  }

  /** What was counted, by kind. */
  public Map<String, Long> counts() {
    return counts;
  }

  /** How much this member doubts itself, 0 for not at all. */
  public int health() {
    return health;
  }

  /** When it next wants to be told that time has passed. */
  public long due() {
    long next = nextPeriod;
    if (probe != null && !probe.helped && !probe.answered) {
      next = Math.min(next, probe.askAt);
    }
    if (!relays.isEmpty()) {
      next = Math.min(next, relays.values().iterator().next().until);
    }
    return Math.min(next, nextEnd());
  }

  // ---- What it is told ----

  /** Does what is due by that time. */
  public List<Action> tick(long at) {
    wake(at);
    if (probe != null && !probe.answered && !probe.helped && now >= probe.askAt) {
      askHelpers();
    }
    while (!suspects.isEmpty() && nextEnd() <= now) {
      Member late = suspects.stream().min(comparingLong(this::endOf)).orElseThrow();
      hold(late, late.word.as(Standing.DEAD, self.name()));
    }
    for (Iterator<Relay> oldest = relays.values().iterator(); oldest.hasNext(); ) {
      Relay relay = oldest.next();
      if (relay.until > now) {
        break;
      }
      oldest.remove();
      send(Letter.Kind.NACK, relay.to, relay.sequence, relay.target, "", null);
    }
    if (now >= nextPeriod) {
      period();
    }
    return given();
  }

  /** A letter has come from that address. */
  public List<Action> heard(long at, String address, Letter letter) {
    wake(at);
    if (!letter.from().usable()
        || !letter.words().stream().allMatch(Word::usable)
        || !letter.facts().stream().allMatch(Fact::usable)) {
      count("unusable");
      return given();
    }
    Word from = letter.from();
    if (from.name().equals(self.name()) && from.life() == self.life()) {
      count("own");
      return given();
    }
    merge(from);
    Member sender = members.get(from.name());
    if (sender != null
        && sender.word.life() == from.life()
        && !sender.numbers.fresh(from.life(), letter.number())) {
      count("repeated");
      return given();
    }
    letter.words().forEach(this::merge);
    for (Fact fact : letter.facts()) {
      // Only of a life that is there: what was said before a restart, and comes late or again, must
      // not count.
      Member owner = members.get(fact.owner());
      if (owner != null
          && owner.word.standing().there()
          && owner.word.life() == fact.life()
          && facts.merge(now, fact)) {
        factsToTell.put(fact.key(), fact);
      }
    }
    switch (letter.kind()) {
      case PING -> pinged(address, letter);
      case ACK -> acknowledged(letter);
      case ASK -> asked(address, letter);
      case NACK -> {
        if (probe != null && probe.sequence == letter.sequence()) {
          probe.refusals++;
        }
      }
      case WHOLE ->
          sendPage(Letter.Kind.PAGE, address, letter.sequence(), letter.about(), held(from));
      case PAGE -> paged(letter);
      default -> throw new IllegalStateException();
    }
    return given();
  }

  /** This member does that now. */
  public List<Action> stage(long at, Stage stage) {
    wake(at);
    if (self.stage() != stage) {
      say(self.at(self.incarnation() + 1, Standing.ALIVE, stage));
    }
    return given();
  }

  /** It leaves: told to some at once, as this is the last that is heard of it. */
  public List<Action> leave(long at) {
    wake(at);
    say(self.at(self.incarnation() + 1, Standing.LEFT, Stage.LEAVING));
    for (Member one : some(rules.helpers() * 2, null)) {
      send(Letter.Kind.PING, one.word.address(), ++sequence, one.word.name(), "", null);
    }
    return given();
  }

  /**
   * What this member says of a subject from now on, for so long; said again before that, it goes
   * on.
   */
  public List<Action> tell(long at, String kind, String subject, long[] values, long lasts) {
    wake(at);
    Fact fact =
        new Fact(
            self.name(),
            self.incarnation(),
            self.life(),
            kind,
            subject,
            ++factNumber,
            values,
            0,
            lasts);
    if (facts.merge(now, fact)) {
      factsToTell.put(fact.key(), fact);
    }
    return given();
  }

  // ---- Time ----

  /**
   * Guards against a member that was stopped for a while and blames others for its own silence:
   * what it waited for is void, suspicions last as much longer, and it doubts itself.
   */
  private void wake(long at) {
    long late = at - Math.max(now, due());
    now = Math.max(now, at);
    if (late > rules.period()) {
      count("stalled");
      health = MOST_HEALTH;
      probe = null;
      exchange = null;
      relays.clear();
      List<Member> all = new ArrayList<>(suspects);
      suspects.clear();
      for (Member one : all) {
        one.suspectedAt += late;
        suspects.add(one);
      }
      nextPeriod = now;
    }
    facts.end(now);
  }

  private List<Action> given() {
    List<Action> all = actions;
    actions = new ArrayList<>();
    return all;
  }

  private void period() {
    judge();
    periods++;
    nextPeriod =
        now + rules.period() * (1 + health) - (long) (chance.nextDouble() * rules.period() / 8);
    members
        .values()
        .removeIf(one -> !one.word.standing().there() && now - one.since > rules.forgetAfter());
    if (exchange != null && now >= exchange.until) {
      exchange =
          exchange.tries >= 3
              ? null
              : lead(exchange.address, exchange.from, exchange.tries + 1, null);
    }
    if (self.standing() == Standing.LEFT) {
      return;
    }
    Member target = next();
    if (target != null) {
      probe = new Probe(target, ++sequence, now + rules.timeout() * (1 + health));
      send(
          Letter.Kind.PING,
          target.word.address(),
          probe.sequence,
          target.word.name(),
          "",
          target.word);
    }
    if (there == 1 || periods % REACH_EVERY == 0) {
      reach();
    }
    if (now >= exchangeAt && exchange == null) {
      exchangeAt = now + (long) (rules.exchangeEvery() * Math.max(1, there / (double) FEW));
      some(1, null).forEach(one -> exchange = lead(one.word.address(), "", 0, one.word));
    }
  }

  /** What came of the last period's probe. */
  private void judge() {
    if (probe == null) {
      return;
    }
    Member target = probe.target;
    if (probe.answered) {
      health = Math.max(0, health - 1);
    } else if (members.get(target.word.name()) == target && target.word.standing().there()) {
      // Guards against a member with bad links of its own: helpers that do not even refuse speak
      // against itself.
      health = Math.min(MOST_HEALTH, health + (probe.asked > 0 && probe.refusals == 0 ? 2 : 1));
      accuse(target, self.name());
    }
    probe = null;
  }

  /**
   * Round robin in an order drawn anew each round, so that each is probed within two rounds at
   * most.
   */
  private Member next() {
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

  private void shuffle(List<?> list) {
    for (int i = list.size() - 1; i > 0; i--) {
      Collections.swap(list, i, chance.nextInt(i + 1));
    }
  }

  /** Some of those that are there, drawn. */
  private List<Member> some(int count, Member except) {
    List<Member> all =
        new ArrayList<>(
            members.values().stream()
                .filter(one -> one.word.standing().there() && one != except)
                .toList());
    shuffle(all);
    return all.subList(0, Math.min(count, all.size()));
  }

  /** The target did not answer in time: it is pinged once more, and others are asked to try. */
  private void askHelpers() {
    probe.helped = true;
    Word target = probe.target.word;
    send(Letter.Kind.PING, target.address(), probe.sequence, target.name(), "", target);
    for (Member helper : some(rules.helpers(), probe.target)) {
      probe.asked++;
      send(Letter.Kind.ASK, helper.word.address(), probe.sequence, target.name(), "", target);
    }
  }

  /**
   * Tries the dead and the seeds that nobody here holds. Guards against halves of a fleet that have
   * declared each other dead while they were cut off, and against a start whose seeds were down.
   */
  private void reach() {
    List<String> away = new ArrayList<>();
    Map<String, Word> by = new HashMap<>();
    for (Member one : members.values()) {
      by.put(one.word.address(), one.word);
      if (one.word.standing() == Standing.DEAD) {
        away.add(one.word.address());
      }
    }
    for (String seed : rules.seeds()) {
      Word known = by.get(seed);
      if (!seed.equals(self.address()) && (known == null || known.standing() == Standing.LEFT)) {
        away.add(seed);
      }
    }
    shuffle(away);
    for (String address : away.subList(0, Math.min(there == 1 ? MOST_SEEDS : 1, away.size()))) {
      Word known = by.get(address);
      sendPage(
          Letter.Kind.WHOLE, address, ++sequence, "", known == null ? List.of() : List.of(known));
    }
  }

  // ---- Letters ----

  private void pinged(String address, Letter letter) {
    // One that came up at another's address is not the other: it tells who it is, and answers for
    // nobody.
    boolean me = letter.about().equals(self.name());
    Letter answer =
        write(Letter.Kind.ACK, me ? letter.sequence() : 0, self.name(), "", held(letter.from()));
    post(address, answer, true);
  }

  /**
   * What is held of the sender, where it says other than that: it may not know what it has to
   * refute.
   */
  private List<Word> held(Word from) {
    Member sender = members.get(from.name());
    Word held = sender == null ? from.name().equals(self.name()) ? self : null : sender.word;
    return held == null || held.equals(from) ? List.of() : List.of(held);
  }

  private void acknowledged(Letter letter) {
    if (probe != null
        && probe.sequence == letter.sequence()
        && probe.target.word.name().equals(letter.about())) {
      probe.answered = true;
    }
    Relay relay = relays.get(letter.sequence());
    if (relay != null && relay.target.equals(letter.from().name())) {
      relays.remove(letter.sequence());
      send(Letter.Kind.ACK, relay.to, relay.sequence, relay.target, "", null);
    }
  }

  private void asked(String address, Letter letter) {
    Member target = members.get(letter.about());
    if (target != null && relays.size() < MOST_RELAYS) {
      relays.put(
          ++sequence, new Relay(address, letter.sequence(), letter.about(), now + rules.timeout()));
      send(Letter.Kind.PING, target.word.address(), sequence, letter.about(), "", target.word);
    }
  }

  private Exchange lead(String address, String from, int tries, Word known) {
    sendPage(
        Letter.Kind.WHOLE, address, ++sequence, from, known == null ? List.of() : List.of(known));
    return new Exchange(address, sequence, from, tries, now + rules.period());
  }

  private void paged(Letter letter) {
    boolean mine = exchange != null && exchange.sequence == letter.sequence();
    boolean goesOn = !letter.next().isEmpty() && letter.next().compareTo(letter.about()) > 0;
    if (goesOn && (mine || exchange == null)) {
      exchange = lead(letter.from().address(), letter.next(), 0, null);
    } else if (mine) {
      exchange = null;
    }
  }

  /** A page of all that is held, from that key on; what comes first goes in any case. */
  private void sendPage(Letter.Kind kind, String address, long as, String from, List<Word> first) {
    List<Word> said = new ArrayList<>(first);
    List<Fact> seen = new ArrayList<>();
    Letter bare = new Letter(kind, 0, as, self, from, "", said, seen);
    int left = rules.datagram() - bare.bytes() - 200; // for the key of the next page
    String next = "";
    for (Member one : members.tailMap(from).values()) {
      left -= one.word.bytes();
      if (left < 0) {
        next = one.word.name();
        break;
      }
      said.add(one.word);
    }
    String key = from.startsWith(FACTS) ? from.substring(FACTS.length()) : "";
    for (Fact one = facts.from(now, key);
        one != null && next.isEmpty();
        one = facts.from(now, one.key() + '\0')) {
      left -= one.bytes();
      if (left < 0) {
        next = FACTS + one.key();
      } else {
        seen.add(one);
      }
    }
    post(
        address,
        new Letter(kind, ++number, as, self, from, next, said, seen),
        kind == Letter.Kind.PAGE);
  }

  private void send(
      Letter.Kind kind, String address, long as, String about, String next, Word first) {
    post(
        address,
        write(kind, as, about, next, first == null ? List.of() : List.of(first)),
        kind == Letter.Kind.ACK);
  }

  /** A letter with as many rumours as fit; none beyond the bound on bytes a second. */
  private Letter write(Letter.Kind kind, long as, String about, String next, List<Word> first) {
    int left =
        rules.datagram() - new Letter(kind, 0, as, self, about, next, first, List.of()).bytes();
    List<Word> said = new ArrayList<>(first);
    List<Fact> seen = new ArrayList<>();
    if (spent() < rules.bytesASecond()) {
      int often = TELL_PART * (Integer.SIZE - Integer.numberOfLeadingZeros(there));
      said.addAll(words.take(left, often));
      left -= said.stream().skip(first.size()).mapToInt(Word::bytes).sum();
      for (Fact fact : factsToTell.take(left, often)) {
        Fact aged = facts.now(now, fact);
        if (aged != null) {
          seen.add(aged);
        }
      }
    }
    return new Letter(kind, ++number, as, self, about, next, said, seen);
  }

  private int spent() {
    if (now - secondFrom >= SECOND) {
      secondFrom = now;
      secondBytes = 0;
    }
    return secondBytes;
  }

  /** The one place that letters leave by: what is not owed stays within twice the bound. */
  private void post(String address, Letter letter, boolean owed) {
    if (!owed && spent() >= 2 * rules.bytesASecond()) {
      count("withheld");
      return;
    }
    secondBytes = spent() + letter.bytes();
    actions.add(new Action.Send(address, letter));
  }

  // ---- What is held of members ----

  private void merge(Word word) {
    if (word.name().equals(self.name())) {
      ofSelf(word);
      return;
    }
    Member member = members.get(word.name());
    if (member == null) {
      if (!word.standing().there()) {
        return; // it was never known here, and is gone
      }
      if (members.size() >= rules.mostMembers()) {
        count("too_many");
        return;
      }
      member = new Member(word.as(Standing.ALIVE, ""), now);
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
        || (member.word.standing() == Standing.SUSPECT && now - member.suspectedAt >= least())) {
      hold(member, word);
    } else {
      accuse(member, word.by());
    }
  }

  /**
   * Somebody says that it does not answer; more independent ones shorten the time it has to refute
   * that.
   */
  private void accuse(Member member, String accuser) {
    if (member.word.standing() == Standing.ALIVE) {
      member.suspectedAt = now;
      hold(member, member.word.as(Standing.SUSPECT, accuser));
      member.accusers.add(accuser);
    } else if (member.word.standing() == Standing.SUSPECT
        && member.accusers.size() <= rules.helpers()
        && member.accusers.add(accuser)) {
      words.put(member.word.name(), member.word.as(Standing.SUSPECT, accuser));
    }
  }

  /** The one place where something else is held of a member. */
  private void hold(Member member, Word next) {
    Word before = member.word;
    suspects.remove(member);
    member.word = next;
    member.since =
        before.standing() == next.standing() && before.life() == next.life() ? member.since : now;
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
    words.put(after.name(), after);
    int more =
        (after.standing().there() ? 1 : 0) - (before != null && before.standing().there() ? 1 : 0);
    there += more;
    boolean was =
        before != null && before.standing().there() && before.place().equals(self.place());
    boolean is = after.standing().there() && after.place().equals(self.place());
    inPlace += (is ? 1 : 0) - (was ? 1 : 0);
    changes += more != 0 || was != is ? 1 : 0;
    actions.add(new Action.Changed(before, after));
  }

  private long least() {
    return (long) (rules.least() * Math.max(1, Math.log10(there)) * rules.period());
  }

  /**
   * When a suspicion ends: the sooner the more have said it, by the logarithm; later while this one
   * doubts itself.
   */
  private long endOf(Member member) {
    int expected = Math.min(rules.helpers(), Math.max(0, there - 2));
    double part = expected == 0 ? 1 : Math.log(member.accusers.size()) / Math.log(expected + 1);
    double times = rules.most() - (rules.most() - 1) * Math.min(1, Math.max(0, part));
    return member.suspectedAt + ((long) (least() * times)) * (1 + health);
  }

  private long nextEnd() {
    return suspects.stream().mapToLong(this::endOf).min().orElse(Long.MAX_VALUE);
  }

  // ---- What others say of this one ----

  private void ofSelf(Word word) {
    if (word.life() == self.life()) {
      if (word.incarnation() >= self.incarnation()
          && word.standing() != Standing.ALIVE
          && self.standing() != Standing.LEFT) {
        count("refuted");
        health = Math.min(MOST_HEALTH, health + 1);
        say(self.at(word.incarnation() + 1, Standing.ALIVE, self.stage()));
      }
      return;
    }
    if (!word.overrules(self)) {
      return;
    }
    Long overruled = outbid.get(word.life());
    boolean twin = overruled != null && word.incarnation() > overruled;
    if (twin) {
      count("twin");
      if (now - twinAt < TWIN_PAUSE && twinAt != Long.MIN_VALUE) {
        return;
      }
      twinAt = now;
      actions.add(new Action.Twin(word.name(), word.address()));
    }
    // A life before this one, or another process under this name: whoever speaks last holds the
    // name.
    long next = word.incarnation() + 1;
    outbid.clear();
    outbid.put(word.life(), next);
    if (next <= Word.MOST_INCARNATION) {
      say(self.at(next, self.standing(), self.stage()));
    }
  }

  private void say(Word next) {
    self = next;
    words.put(self.name(), self);
  }

  private void count(String what) {
    counts.merge(what, 1L, Long::sum);
  }
}
