package tansytrack.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The membership as one member sees it: SWIM with the refinements that docs/fleet.md lists. It
 * hears letters and that time passes, and gives back what is to be done; no I/O, no clock, no
 * thread. One instance a member, on one thread.
 */
public final class Fleet {

  private static final int FEW =
      32; // members, beyond which full exchanges are rarer: each is longer
  private static final int REACH_EVERY = 3; // periods between tries to reach the dead and the seeds
  private static final int MOST_SEEDS = 3; // that are tried at once
  private static final int MOST_RELAYS = 256;
  private static final long TWIN_PAUSE =
      60_000_000_000L; // between two attempts to hold a name that another uses too

  private final Rules rules;
  private final SplittableRandom chance;
  private final LocalState local;
  private final Outbox outbox;
  private final MemberTable members;
  private final Facts facts;
  private final LinkedHashMap<Long, Relay> relays =
      new LinkedHashMap<>(); // all wait as long: the oldest ends first
  private final Map<Long, Long> outbid =
      new HashMap<>(); // by life: the incarnation with which this one overruled it
  private long sequence;
  private long factNumber;
  private long periods;
  private long nextPeriod;
  private Probe probe;
  private Exchange exchange;
  private long exchangeAt;
  private long twinAt = Long.MIN_VALUE;

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
    local = new LocalState(self, now);
    chance = new SplittableRandom(seed);
    facts = new Facts(rules.mostFacts());
    outbox = new Outbox(rules, local, facts);
    members = new MemberTable(rules, local, outbox, facts, chance);
    // Not all of a fleet that starts at once in the same moment.
    nextPeriod = now + (long) (chance.nextDouble() * rules.period());
    exchangeAt = now + rules.exchangeEvery();
  }

  // ---- What is asked of it ----

  /** How many members are thought to run now; the number changes with each change. */
  public View view() {
    return members.view();
  }

  /** What this member says of itself. */
  public Word self() {
    return local.self;
  }

  /** All others that are known, by name. */
  public List<Word> others() {
    return members.all().stream().map(one -> one.word).toList();
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
    return local.counts;
  }

  /** How much this member doubts itself, 0 for not at all. */
  public int health() {
    return local.health;
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
    return Math.min(next, members.nextEnd());
  }

  // ---- What it is told ----

  /** Does what is due by that time. */
  public List<Action> tick(long at) {
    wake(at);
    if (probe != null && !probe.answered && !probe.helped && local.now >= probe.askAt) {
      askHelpers();
    }
    members.endSuspicions();
    for (Iterator<Relay> oldest = relays.values().iterator(); oldest.hasNext(); ) {
      Relay relay = oldest.next();
      if (relay.until > local.now) {
        break;
      }
      oldest.remove();
      outbox.send(Letter.Kind.NACK, relay.to, relay.sequence, relay.target, "", null);
    }
    if (local.now >= nextPeriod) {
      period();
    }
    return outbox.given();
  }

  /** A letter has come from that address. */
  public List<Action> heard(long at, String address, Letter letter) {
    wake(at);
    if (!letter.from().usable()
        || !letter.words().stream().allMatch(Word::usable)
        || !letter.facts().stream().allMatch(Fact::usable)) {
      local.count("unusable");
      return outbox.given();
    }
    Word from = letter.from();
    if (from.name().equals(local.self.name()) && from.life() == local.self.life()) {
      local.count("own");
      return outbox.given();
    }
    merge(from);
    Member sender = members.get(from.name());
    if (sender != null
        && sender.word.life() == from.life()
        && !sender.numbers.fresh(from.life(), letter.number())) {
      local.count("repeated");
      return outbox.given();
    }
    letter.words().forEach(this::merge);
    for (Fact fact : letter.facts()) {
      // Only of a life that is there: what was said before a restart, and comes late or again, must
      // not count.
      Member owner = members.get(fact.owner());
      if (owner != null
          && owner.word.standing().there()
          && owner.word.life() == fact.life()
          && facts.merge(local.now, fact)) {
        outbox.tell(fact);
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
    return outbox.given();
  }

  /** This member does that now. */
  public List<Action> stage(long at, Stage stage) {
    wake(at);
    if (local.self.stage() != stage) {
      outbox.say(local.self.at(local.self.incarnation() + 1, Standing.ALIVE, stage));
    }
    return outbox.given();
  }

  /** It leaves: told to some at once, as this is the last that is heard of it. */
  public List<Action> leave(long at) {
    wake(at);
    outbox.say(local.self.at(local.self.incarnation() + 1, Standing.LEFT, Stage.LEAVING));
    for (Member one : members.some(rules.helpers() * 2, null)) {
      outbox.send(Letter.Kind.PING, one.word.address(), ++sequence, one.word.name(), "", null);
    }
    return outbox.given();
  }

  /**
   * What this member says of a subject from now on, for so long; said again before that, it goes
   * on.
   */
  public List<Action> tell(long at, String kind, String subject, long[] values, long lasts) {
    wake(at);
    Fact fact =
        new Fact(
            local.self.name(),
            local.self.incarnation(),
            local.self.life(),
            kind,
            subject,
            ++factNumber,
            values,
            0,
            lasts);
    if (facts.merge(local.now, fact)) {
      outbox.tell(fact);
    }
    return outbox.given();
  }

  // ---- Time ----

  /**
   * Guards against a member that was stopped for a while and blames others for its own silence:
   * what it waited for is void, suspicions last as much longer, and it doubts itself.
   */
  private void wake(long at) {
    long late = at - Math.max(local.now, due());
    local.now = Math.max(local.now, at);
    if (late > rules.period()) {
      local.count("stalled");
      local.health = LocalState.MOST_HEALTH;
      probe = null;
      exchange = null;
      relays.clear();
      members.postponeSuspicions(late);
      nextPeriod = local.now;
    }
    facts.end(local.now);
  }

  private void period() {
    judge();
    periods++;
    nextPeriod =
        local.now
            + rules.period() * (1 + local.health)
            - (long) (chance.nextDouble() * rules.period() / 8);
    members.forgetGone();
    if (exchange != null && local.now >= exchange.until) {
      exchange =
          exchange.tries >= 3
              ? null
              : lead(exchange.address, exchange.from, exchange.tries + 1, null);
    }
    if (local.self.standing() == Standing.LEFT) {
      return;
    }
    Member target = members.next();
    if (target != null) {
      probe = new Probe(target, ++sequence, local.now + rules.timeout() * (1 + local.health));
      outbox.send(
          Letter.Kind.PING,
          target.word.address(),
          probe.sequence,
          target.word.name(),
          "",
          target.word);
    }
    if (local.there == 1 || periods % REACH_EVERY == 0) {
      reach();
    }
    if (local.now >= exchangeAt && exchange == null) {
      exchangeAt =
          local.now + (long) (rules.exchangeEvery() * Math.max(1, local.there / (double) FEW));
      members.some(1, null).forEach(one -> exchange = lead(one.word.address(), "", 0, one.word));
    }
  }

  /** What came of the last period's probe. */
  private void judge() {
    if (probe == null) {
      return;
    }
    Member target = probe.target;
    if (probe.answered) {
      local.health = Math.max(0, local.health - 1);
    } else if (members.get(target.word.name()) == target && target.word.standing().there()) {
      // Guards against a member with bad links of its own: helpers that do not even refuse speak
      // against itself.
      local.doubt(probe.asked > 0 && probe.refusals == 0 ? 2 : 1);
      members.accuse(target, local.self.name());
    }
    probe = null;
  }

  /** The target did not answer in time: it is pinged once more, and others are asked to try. */
  private void askHelpers() {
    probe.helped = true;
    Word target = probe.target.word;
    outbox.send(Letter.Kind.PING, target.address(), probe.sequence, target.name(), "", target);
    for (Member helper : members.some(rules.helpers(), probe.target)) {
      probe.asked++;
      outbox.send(
          Letter.Kind.ASK, helper.word.address(), probe.sequence, target.name(), "", target);
    }
  }

  /**
   * Tries the dead and the seeds that nobody here holds. Guards against halves of a fleet that have
   * declared each other dead while they were cut off, and against a start whose seeds were down.
   */
  private void reach() {
    List<String> away = new ArrayList<>();
    Map<String, Word> by = new HashMap<>();
    for (Member one : members.all()) {
      by.put(one.word.address(), one.word);
      if (one.word.standing() == Standing.DEAD) {
        away.add(one.word.address());
      }
    }
    for (String seed : rules.seeds()) {
      Word known = by.get(seed);
      if (!seed.equals(local.self.address())
          && (known == null || known.standing() == Standing.LEFT)) {
        away.add(seed);
      }
    }
    members.shuffle(away);
    for (String address :
        away.subList(0, Math.min(local.there == 1 ? MOST_SEEDS : 1, away.size()))) {
      Word known = by.get(address);
      sendPage(
          Letter.Kind.WHOLE, address, ++sequence, "", known == null ? List.of() : List.of(known));
    }
  }

  // ---- Letters ----

  private void pinged(String address, Letter letter) {
    // One that came up at another's address is not the other: it tells who it is, and answers for
    // nobody.
    boolean me = letter.about().equals(local.self.name());
    Letter answer =
        outbox.write(
            Letter.Kind.ACK,
            me ? letter.sequence() : 0,
            local.self.name(),
            "",
            held(letter.from()));
    outbox.post(address, answer, true);
  }

  /**
   * What is held of the sender, where it says other than that: it may not know what it has to
   * refute.
   */
  private List<Word> held(Word from) {
    Member sender = members.get(from.name());
    Word held =
        sender == null ? from.name().equals(local.self.name()) ? local.self : null : sender.word;
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
      outbox.send(Letter.Kind.ACK, relay.to, relay.sequence, relay.target, "", null);
    }
  }

  private void asked(String address, Letter letter) {
    Member target = members.get(letter.about());
    if (target != null && relays.size() < MOST_RELAYS) {
      relays.put(
          ++sequence,
          new Relay(address, letter.sequence(), letter.about(), local.now + rules.timeout()));
      outbox.send(
          Letter.Kind.PING, target.word.address(), sequence, letter.about(), "", target.word);
    }
  }

  private Exchange lead(String address, String from, int tries, Word known) {
    sendPage(
        Letter.Kind.WHOLE, address, ++sequence, from, known == null ? List.of() : List.of(known));
    return new Exchange(address, sequence, from, tries, local.now + rules.period());
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

  private void sendPage(Letter.Kind kind, String address, long as, String from, List<Word> first) {
    outbox.sendPage(kind, address, as, from, first, members.from(from));
  }

  private void merge(Word word) {
    if (word.name().equals(local.self.name())) {
      ofSelf(word);
    } else {
      members.merge(word);
    }
  }

  // ---- What others say of this one ----

  private void ofSelf(Word word) {
    if (word.life() == local.self.life()) {
      if (word.incarnation() >= local.self.incarnation()
          && word.standing() != Standing.ALIVE
          && local.self.standing() != Standing.LEFT) {
        local.count("refuted");
        local.doubt(1);
        outbox.say(local.self.at(word.incarnation() + 1, Standing.ALIVE, local.self.stage()));
      }
      return;
    }
    if (!word.overrules(local.self)) {
      return;
    }
    Long overruled = outbid.get(word.life());
    boolean twin = overruled != null && word.incarnation() > overruled;
    if (twin) {
      local.count("twin");
      if (local.now - twinAt < TWIN_PAUSE && twinAt != Long.MIN_VALUE) {
        return;
      }
      twinAt = local.now;
      outbox.add(new Action.Twin(word.name(), word.address()));
    }
    // A life before this one, or another process under this name: whoever speaks last holds the
    // name.
    long next = word.incarnation() + 1;
    outbid.clear();
    outbid.put(word.life(), next);
    if (next <= Word.MOST_INCARNATION) {
      outbox.say(local.self.at(next, local.self.standing(), local.self.stage()));
    }
  }
}
