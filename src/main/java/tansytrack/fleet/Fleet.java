package tansytrack.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The membership as one member sees it: SWIM with the refinements that docs/fleet.md lists. A state
 * machine without I/O, clock or threads: it is given messages and the time, and returns the actions
 * to execute. There is one instance per member, used by one thread.
 */
public final class Fleet {

  // Above this many members the sync interval grows with their number, because each sync is longer.
  private static final int FEW = 32;
  // Probe rounds between two attempts to contact dead members and unknown seeds.
  private static final int REACH_EVERY = 3;
  private static final int MOST_SEEDS = 3;
  private static final int MOST_RELAYS = 256;
  // Minimum time between two attempts to reclaim a name that another process uses too.
  private static final long TWIN_PAUSE = 60_000_000_000L;

  private final Rules rules;
  private final SplittableRandom chance;
  private final LocalState local;
  private final Outbox outbox;
  private final MemberTable members;
  private final Facts facts;
  // By request ID. All have the same timeout, so the oldest expires first.
  private final LinkedHashMap<Long, Relay> relays = new LinkedHashMap<>();
  // By instance ID of another process with this name: the incarnation that superseded its claim.
  private final Map<Long, Long> outbid = new HashMap<>();
  private long sequence;
  private long factNumber;
  private long periods;
  private long nextPeriod;
  private Probe probe;
  private Exchange exchange;
  private long exchangeAt;
  private long twinAt = Long.MIN_VALUE;

  /** The probe of the current round. */
  private static final class Probe {
    final Member target;
    final long sequence;
    final long askAt;
    int asked;
    // Helpers that received no ack from the target either.
    int refusals;
    boolean answered;
    boolean helped;

    Probe(Member target, long sequence, long askAt) {
      this.target = target;
      this.sequence = sequence;
      this.askAt = askAt;
    }
  }

  /** A probe made on behalf of another member, under the requester's own request ID. */
  private record Relay(String to, long sequence, String target, long until) {}

  /** An anti-entropy sync that this member has started; it proceeds page by page. */
  private record Exchange(String address, long sequence, String from, int tries, long until) {}

  /** A membership that knows only this member. All randomness is derived from the seed. */
  public Fleet(Rules rules, Word self, long seed, long now) {
    this.rules = rules;
    local = new LocalState(self, now);
    chance = new SplittableRandom(seed);
    facts = new Facts(rules.mostFacts());
    outbox = new Outbox(rules, local, facts);
    members = new MemberTable(rules, local, outbox, facts, chance);
    // A random phase keeps managers that start together from probing at the same moment.
    nextPeriod = now + (long) (chance.nextDouble() * rules.period());
    exchangeAt = now + rules.exchangeEvery();
  }

  // ---- Queries ----

  /** The number of live members; its version changes with each change. */
  public View view() {
    return members.view();
  }

  /** The state that this member announces of itself. */
  public Word self() {
    return local.self;
  }

  /** The states of all other known members, ordered by name. */
  public List<Word> others() {
    return members.all().stream().map(one -> one.word).toList();
  }

  /** The time since which a member has had its status, or -1 for an unknown member. */
  public long since(String name) {
    Member member = members.get(name);
    return member == null ? -1 : member.since;
  }

  /** The facts that members replicate to each other. */
  public Facts facts() {
    return facts;
  }

  /** Event counters by name. */
  public Map<String, Long> counts() {
    return local.counts;
  }

  /** The local health score of Lifeguard: 0 is healthy, higher values lengthen timeouts. */
  public int health() {
    return local.health;
  }

  /** The time at which {@link #tick} must be called next. */
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

  // ---- Inputs ----

  /** Processes the deadlines that have passed by the given time. */
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

  /** Processes a message received from an address. */
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
      // Only facts of the owner's present instance are accepted: facts from before a restart may be
      // delayed or replayed.
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

  /** Sets and announces this member's stage. */
  public List<Action> stage(long at, Stage stage) {
    wake(at);
    if (local.self.stage() != stage) {
      outbox.say(local.self.at(local.self.incarnation() + 1, Standing.ALIVE, stage));
    }
    return outbox.given();
  }

  /** Leaves: announces it at once to several members, as no later message will carry it. */
  public List<Action> leave(long at) {
    wake(at);
    outbox.say(local.self.at(local.self.incarnation() + 1, Standing.LEFT, Stage.LEAVING));
    for (Member one : members.some(rules.helpers() * 2, null)) {
      outbox.send(Letter.Kind.PING, one.word.address(), ++sequence, one.word.name(), "", null);
    }
    return outbox.given();
  }

  /** Publishes this member's value for a subject; it expires unless it is published again. */
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

  // ---- Timers ----

  /**
   * Advances the clock. A process that was paused has heard nobody meanwhile and must not blame the
   * others for it: pending probes are discarded, suspicions are extended by the pause, and the
   * local health score is set to its maximum.
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

  /** Evaluates the probe of the previous round. */
  private void judge() {
    if (probe == null) {
      return;
    }
    Member target = probe.target;
    if (probe.answered) {
      local.health = Math.max(0, local.health - 1);
    } else if (members.get(target.word.name()) == target && target.word.standing().there()) {
      // Helpers that send not even a nack indicate that this member's own links are faulty.
      local.doubt(probe.asked > 0 && probe.refusals == 0 ? 2 : 1);
      members.accuse(target, local.self.name());
    }
    probe = null;
  }

  /** The target's ack is overdue: pings it once more and asks other members to probe it. */
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
   * Contacts dead members and seeds that are unknown or have left. Without this, the two sides of a
   * healed partition that declared each other dead would stay apart, and so would a member whose
   * seeds were down when it started.
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

  // ---- Messages ----

  private void pinged(String address, Letter letter) {
    // A process that has taken over another member's address must not answer on its behalf: the ack
    // has request ID 0 and only introduces the process.
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
   * The state held of the sender if it differs from what the sender announces; the sender may not
   * know of the claim that it has to refute.
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

  // ---- Claims about this member ----

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
    // The claim is of an earlier instance of this member or of another process with its name. The
    // highest incarnation holds the name.
    long next = word.incarnation() + 1;
    outbid.clear();
    outbid.put(word.life(), next);
    if (next <= Word.MOST_INCARNATION) {
      outbox.say(local.self.at(next, local.self.standing(), local.self.stage()));
    }
  }
}
