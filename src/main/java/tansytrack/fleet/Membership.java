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
public final class Membership {

  private static final int SYNC_SCALING_MEMBERS =
      32; // members, beyond which full exchanges are rarer: each is longer
  private static final int REJOIN_EVERY_PROBES =
      3; // periods between tries to reach the dead and the seeds
  private static final int MAX_SEEDS_PER_REJOIN = 3; // that are tried at once
  private static final int MAX_INDIRECT_PROBES = 256;
  private static final long NAME_CONFLICT_INTERVAL_NANOS =
      60_000_000_000L; // between two attempts to hold a name that another uses too

  private final MembershipConfig config;
  private final SplittableRandom random;
  private final LocalState local;
  private final Outbox outbox;
  private final MemberTable members;
  private final FactStore facts;
  private final LinkedHashMap<Long, IndirectProbe> indirectProbes =
      new LinkedHashMap<>(); // all wait as long: the oldest ends first
  private final Map<Long, Long> refutedIncarnations =
      new HashMap<>(); // by life: the incarnation with which this one overruled it
  private long lastRequestId;
  private long lastFactVersion;
  private long probeRounds;
  private long nextProbeAt;
  private Probe probe;
  private Sync sync;
  private long nextSyncAt;
  private long nameConflictAt = Long.MIN_VALUE;

  private static final class Probe {
    final Member target;
    final long requestId;
    final long directTimeoutAt;
    int helpersAsked; // helpers
    int nacks; // of those: they say that they got no answer either
    boolean acknowledged;
    boolean indirect;

    Probe(Member target, long sequence, long askAt) {
      this.target = target;
      this.requestId = sequence;
      this.directTimeoutAt = askAt;
    }
  }

  /** A probe made for another: whom to tell, under which of its numbers, until when. */
  private record IndirectProbe(String requester, long requestId, String target, long deadline) {}

  /** A full exchange that this member leads, page by page. */
  private record Sync(
      String address, long requestId, String startKey, int retries, long deadline) {}

  /** A membership that knows itself alone; everything random in it comes from the seed. */
  public Membership(MembershipConfig rules, MemberState self, long seed, long now) {
    this.config = rules;
    local = new LocalState(self, now);
    random = new SplittableRandom(seed);
    facts = new FactStore(rules.maxFacts());
    outbox = new Outbox(rules, local, facts);
    members = new MemberTable(rules, local, outbox, facts, random);
    // Not all of a fleet that starts at once in the same moment.
    nextProbeAt = now + (long) (random.nextDouble() * rules.probeIntervalNanos());
    nextSyncAt = now + rules.syncIntervalNanos();
  }

  // ---- What is asked of it ----

  /** How many members are thought to run now; the number changes with each change. */
  public MembershipView view() {
    return members.view();
  }

  /** What this member says of itself. */
  public MemberState self() {
    return local.self;
  }

  /** All others that are known, by name. */
  public List<MemberState> others() {
    return members.all().stream().map(one -> one.state).toList();
  }

  /** Since when that is held of a member; -1: it is not known. */
  public long statusSince(String name) {
    Member member = members.get(name);
    return member == null ? -1 : member.statusSince;
  }

  /** The facts that members pass on to each other. */
  public FactStore facts() {
    return facts;
  }

  /** What was counted, by kind. */
  public Map<String, Long> counts() {
    return local.counts;
  }

  /** How much this member doubts itself, 0 for not at all. */
  public int healthScore() {
    return local.healthScore;
  }

  /** When it next wants to be told that time has passed. */
  public long nextDeadline() {
    long next = nextProbeAt;
    if (probe != null && !probe.indirect && !probe.acknowledged) {
      next = Math.min(next, probe.directTimeoutAt);
    }
    if (!indirectProbes.isEmpty()) {
      next = Math.min(next, indirectProbes.values().iterator().next().deadline);
    }
    return Math.min(next, members.nextSuspicionDeadline());
  }

  // ---- What it is told ----

  /** Does what is due by that time. */
  public List<Action> tick(long at) {
    advanceClock(at);
    if (probe != null
        && !probe.acknowledged
        && !probe.indirect
        && local.now >= probe.directTimeoutAt) {
      probeIndirectly();
    }
    members.expireSuspicions();
    for (Iterator<IndirectProbe> oldest = indirectProbes.values().iterator(); oldest.hasNext(); ) {
      IndirectProbe relay = oldest.next();
      if (relay.deadline > local.now) {
        break;
      }
      oldest.remove();
      outbox.send(Message.Kind.NACK, relay.requester, relay.requestId, relay.target, "", null);
    }
    if (local.now >= nextProbeAt) {
      startProbeRound();
    }
    return outbox.drainActions();
  }

  /** A letter has come from that address. */
  public List<Action> receive(long at, String address, Message letter) {
    advanceClock(at);
    if (!letter.sender().isValid()
        || !letter.updates().stream().allMatch(MemberState::isValid)
        || !letter.facts().stream().allMatch(Fact::isValid)) {
      local.count("unusable");
      return outbox.drainActions();
    }
    MemberState from = letter.sender();
    if (from.name().equals(local.self.name()) && from.instanceId() == local.self.instanceId()) {
      local.count("own");
      return outbox.drainActions();
    }
    merge(from);
    Member sender = members.get(from.name());
    if (sender != null
        && sender.state.instanceId() == from.instanceId()
        && !sender.replayWindow.accept(from.instanceId(), letter.messageNumber())) {
      local.count("repeated");
      return outbox.drainActions();
    }
    letter.updates().forEach(this::merge);
    for (Fact fact : letter.facts()) {
      // Only of a life that is there: what was said before a restart, and comes late or again, must
      // not count.
      Member owner = members.get(fact.owner());
      if (owner != null
          && owner.state.status().isLive()
          && owner.state.instanceId() == fact.instanceId()
          && facts.merge(local.now, fact)) {
        outbox.gossip(fact);
      }
    }
    switch (letter.kind()) {
      case PING -> onPing(address, letter);
      case ACK -> onAck(letter);
      case PING_REQ -> onPingReq(address, letter);
      case NACK -> {
        if (probe != null && probe.requestId == letter.requestId()) {
          probe.nacks++;
        }
      }
      case SYNC_REQUEST ->
          sendPage(
              Message.Kind.SYNC_RESPONSE,
              address,
              letter.requestId(),
              letter.targetOrStartKey(),
              correctionFor(from));
      case SYNC_RESPONSE -> onSyncResponse(letter);
      default -> throw new IllegalStateException();
    }
    return outbox.drainActions();
  }

  /** This member does that now. */
  public List<Action> setStage(long at, Stage stage) {
    advanceClock(at);
    if (local.self.stage() != stage) {
      outbox.updateSelf(
          local.self.withIncarnation(local.self.incarnation() + 1, MemberStatus.ALIVE, stage));
    }
    return outbox.drainActions();
  }

  /** It leaves: told to some at once, as this is the last that is heard of it. */
  public List<Action> leave(long at) {
    advanceClock(at);
    outbox.updateSelf(
        local.self.withIncarnation(local.self.incarnation() + 1, MemberStatus.LEFT, Stage.LEAVING));
    for (Member one : members.randomLiveMembers(config.indirectProbes() * 2, null)) {
      outbox.send(
          Message.Kind.PING, one.state.address(), ++lastRequestId, one.state.name(), "", null);
    }
    return outbox.drainActions();
  }

  /**
   * What this member says of a subject from now on, for so long; said again before that, it goes
   * on.
   */
  public List<Action> publishFact(long at, String kind, String subject, long[] values, long lasts) {
    advanceClock(at);
    Fact fact =
        new Fact(
            local.self.name(),
            local.self.incarnation(),
            local.self.instanceId(),
            kind,
            subject,
            ++lastFactVersion,
            values,
            0,
            lasts);
    if (facts.merge(local.now, fact)) {
      outbox.gossip(fact);
    }
    return outbox.drainActions();
  }

  // ---- Time ----

  /**
   * Guards against a member that was stopped for a while and blames others for its own silence:
   * what it waited for is void, suspicions last as much longer, and it doubts itself.
   */
  private void advanceClock(long at) {
    long late = at - Math.max(local.now, nextDeadline());
    local.now = Math.max(local.now, at);
    if (late > config.probeIntervalNanos()) {
      local.count("stalled");
      local.healthScore = LocalState.MAX_HEALTH_SCORE;
      probe = null;
      sync = null;
      indirectProbes.clear();
      members.postponeSuspicions(late);
      nextProbeAt = local.now;
    }
    facts.removeExpired(local.now);
  }

  private void startProbeRound() {
    finishProbe();
    probeRounds++;
    nextProbeAt =
        local.now
            + config.probeIntervalNanos() * (1 + local.healthScore)
            - (long) (random.nextDouble() * config.probeIntervalNanos() / 8);
    members.forgetGone();
    if (sync != null && local.now >= sync.deadline) {
      sync =
          sync.retries >= 3
              ? null
              : requestSync(sync.address, sync.startKey, sync.retries + 1, null);
    }
    if (local.self.status() == MemberStatus.LEFT) {
      return;
    }
    Member target = members.nextProbeTarget();
    if (target != null) {
      probe =
          new Probe(
              target,
              ++lastRequestId,
              local.now + config.probeTimeoutNanos() * (1 + local.healthScore));
      outbox.send(
          Message.Kind.PING,
          target.state.address(),
          probe.requestId,
          target.state.name(),
          "",
          target.state);
    }
    if (local.liveMembers == 1 || probeRounds % REJOIN_EVERY_PROBES == 0) {
      contactUnreachable();
    }
    if (local.now >= nextSyncAt && sync == null) {
      nextSyncAt =
          local.now
              + (long)
                  (config.syncIntervalNanos()
                      * Math.max(1, local.liveMembers / (double) SYNC_SCALING_MEMBERS));
      members
          .randomLiveMembers(1, null)
          .forEach(one -> sync = requestSync(one.state.address(), "", 0, one.state));
    }
  }

  /** What came of the last period's probe. */
  private void finishProbe() {
    if (probe == null) {
      return;
    }
    Member target = probe.target;
    if (probe.acknowledged) {
      local.healthScore = Math.max(0, local.healthScore - 1);
    } else if (members.get(target.state.name()) == target && target.state.status().isLive()) {
      // Guards against a member with bad links of its own: helpers that do not even refuse speak
      // against itself.
      local.raiseHealthScore(probe.helpersAsked > 0 && probe.nacks == 0 ? 2 : 1);
      members.suspect(target, local.self.name());
    }
    probe = null;
  }

  /** The target did not answer in time: it is pinged once more, and others are asked to try. */
  private void probeIndirectly() {
    probe.indirect = true;
    MemberState target = probe.target.state;
    outbox.send(Message.Kind.PING, target.address(), probe.requestId, target.name(), "", target);
    for (Member helper : members.randomLiveMembers(config.indirectProbes(), probe.target)) {
      probe.helpersAsked++;
      outbox.send(
          Message.Kind.PING_REQ,
          helper.state.address(),
          probe.requestId,
          target.name(),
          "",
          target);
    }
  }

  /**
   * Tries the dead and the seeds that nobody here holds. Guards against halves of a fleet that have
   * declared each other dead while they were cut off, and against a start whose seeds were down.
   */
  private void contactUnreachable() {
    List<String> away = new ArrayList<>();
    Map<String, MemberState> by = new HashMap<>();
    for (Member one : members.all()) {
      by.put(one.state.address(), one.state);
      if (one.state.status() == MemberStatus.DEAD) {
        away.add(one.state.address());
      }
    }
    for (String seed : config.seeds()) {
      MemberState known = by.get(seed);
      if (!seed.equals(local.self.address())
          && (known == null || known.status() == MemberStatus.LEFT)) {
        away.add(seed);
      }
    }
    members.shuffle(away);
    for (String address :
        away.subList(0, Math.min(local.liveMembers == 1 ? MAX_SEEDS_PER_REJOIN : 1, away.size()))) {
      MemberState known = by.get(address);
      sendPage(
          Message.Kind.SYNC_REQUEST,
          address,
          ++lastRequestId,
          "",
          known == null ? List.of() : List.of(known));
    }
  }

  // ---- Letters ----

  private void onPing(String address, Message letter) {
    // One that came up at another's address is not the other: it tells who it is, and answers for
    // nobody.
    boolean me = letter.targetOrStartKey().equals(local.self.name());
    Message answer =
        outbox.compose(
            Message.Kind.ACK,
            me ? letter.requestId() : 0,
            local.self.name(),
            "",
            correctionFor(letter.sender()));
    outbox.transmit(address, answer, true);
  }

  /**
   * What is held of the sender, where it says other than that: it may not know what it has to
   * refute.
   */
  private List<MemberState> correctionFor(MemberState from) {
    Member sender = members.get(from.name());
    MemberState held =
        sender == null ? from.name().equals(local.self.name()) ? local.self : null : sender.state;
    return held == null || held.equals(from) ? List.of() : List.of(held);
  }

  private void onAck(Message letter) {
    if (probe != null
        && probe.requestId == letter.requestId()
        && probe.target.state.name().equals(letter.targetOrStartKey())) {
      probe.acknowledged = true;
    }
    IndirectProbe relay = indirectProbes.get(letter.requestId());
    if (relay != null && relay.target.equals(letter.sender().name())) {
      indirectProbes.remove(letter.requestId());
      outbox.send(Message.Kind.ACK, relay.requester, relay.requestId, relay.target, "", null);
    }
  }

  private void onPingReq(String address, Message letter) {
    Member target = members.get(letter.targetOrStartKey());
    if (target != null && indirectProbes.size() < MAX_INDIRECT_PROBES) {
      indirectProbes.put(
          ++lastRequestId,
          new IndirectProbe(
              address,
              letter.requestId(),
              letter.targetOrStartKey(),
              local.now + config.probeTimeoutNanos()));
      outbox.send(
          Message.Kind.PING,
          target.state.address(),
          lastRequestId,
          letter.targetOrStartKey(),
          "",
          target.state);
    }
  }

  private Sync requestSync(String address, String from, int tries, MemberState known) {
    sendPage(
        Message.Kind.SYNC_REQUEST,
        address,
        ++lastRequestId,
        from,
        known == null ? List.of() : List.of(known));
    return new Sync(address, lastRequestId, from, tries, local.now + config.probeIntervalNanos());
  }

  private void onSyncResponse(Message letter) {
    boolean mine = sync != null && sync.requestId == letter.requestId();
    boolean goesOn =
        !letter.nextKey().isEmpty() && letter.nextKey().compareTo(letter.targetOrStartKey()) > 0;
    if (goesOn && (mine || sync == null)) {
      sync = requestSync(letter.sender().address(), letter.nextKey(), 0, null);
    } else if (mine) {
      sync = null;
    }
  }

  private void sendPage(
      Message.Kind kind, String address, long as, String from, List<MemberState> first) {
    outbox.sendSyncPage(kind, address, as, from, first, members.statesFrom(from));
  }

  private void merge(MemberState word) {
    if (word.name().equals(local.self.name())) {
      mergeClaimAboutSelf(word);
    } else {
      members.merge(word);
    }
  }

  // ---- What others say of this one ----

  private void mergeClaimAboutSelf(MemberState word) {
    if (word.instanceId() == local.self.instanceId()) {
      if (word.incarnation() >= local.self.incarnation()
          && word.status() != MemberStatus.ALIVE
          && local.self.status() != MemberStatus.LEFT) {
        local.count("refuted");
        local.raiseHealthScore(1);
        outbox.updateSelf(
            local.self.withIncarnation(
                word.incarnation() + 1, MemberStatus.ALIVE, local.self.stage()));
      }
      return;
    }
    if (!word.supersedes(local.self)) {
      return;
    }
    Long overruled = refutedIncarnations.get(word.instanceId());
    boolean twin = overruled != null && word.incarnation() > overruled;
    if (twin) {
      local.count("twin");
      if (local.now - nameConflictAt < NAME_CONFLICT_INTERVAL_NANOS
          && nameConflictAt != Long.MIN_VALUE) {
        return;
      }
      nameConflictAt = local.now;
      outbox.add(new Action.NameConflict(word.name(), word.address()));
    }
    // A life before this one, or another process under this name: whoever speaks last holds the
    // name.
    long next = word.incarnation() + 1;
    refutedIncarnations.clear();
    refutedIncarnations.put(word.instanceId(), next);
    if (next <= MemberState.MAX_INCARNATION) {
      outbox.updateSelf(local.self.withIncarnation(next, local.self.status(), local.self.stage()));
    }
  }
}
