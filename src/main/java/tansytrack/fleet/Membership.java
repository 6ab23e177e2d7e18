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
public final class Membership {

  // Above this many members the sync interval grows with their number, because each sync is longer.
  private static final int SYNC_SCALING_MEMBERS = 32;
  // Probe rounds between two attempts to contact dead members, and unknown or left seeds.
  private static final int REJOIN_EVERY_PROBES = 3;
  private static final int MAX_CONTACTS_PER_REJOIN = 3;
  private static final int MAX_INDIRECT_PROBES = 256;

  private final MembershipConfig config;
  private final SplittableRandom random;
  private final LocalState local;
  private final Outbox outbox;
  private final MemberTable members;
  private final FactStore facts;
  private final SelfClaims selfClaims;
  // By request ID. All have the same timeout, so the oldest expires first.
  private final LinkedHashMap<Long, IndirectProbe> indirectProbes = new LinkedHashMap<>();
  private long lastRequestId;
  private long lastFactVersion;
  private long probeRounds;
  private long nextProbeAt;
  private Probe probe;
  private Sync sync;
  private long nextSyncAt;

  /** A probe made on behalf of another member, under the requester's own request ID. */
  private record IndirectProbe(String requester, long requestId, String target, long deadline) {}

  /** An anti-entropy sync that this member has started; it proceeds page by page. */
  private record Sync(
      String address, long requestId, String startKey, int retries, long deadline) {}

  /** A membership that knows only this member. All randomness is derived from the seed. */
  public Membership(MembershipConfig config, MemberState self, long seed, long now) {
    this.config = config;
    local = new LocalState(self, now);
    random = new SplittableRandom(seed);
    facts = new FactStore(config.maxFacts());
    outbox = new Outbox(config, local, facts);
    members = new MemberTable(config, local, outbox, facts, random);
    selfClaims = new SelfClaims(local, outbox);
    // A random phase keeps managers that start together from probing at the same moment.
    nextProbeAt = now + (long) (random.nextDouble() * config.probeIntervalNanos());
    nextSyncAt = now + config.syncIntervalNanos();
  }

  // ---- Queries ----

  /** Live members in all and in the zone; the version changes whenever either number does. */
  public MembershipView view() {
    return members.view();
  }

  /** The state that this member announces of itself. */
  public MemberState self() {
    return local.self;
  }

  /** The states of all other known members, ordered by name. */
  public List<MemberState> others() {
    return members.all().stream().map(member -> member.state).toList();
  }

  /** The time since which a member has had its status, or -1 for an unknown member. */
  public long statusSince(String name) {
    Member member = members.get(name);
    return member == null ? -1 : member.statusSince;
  }

  /** The facts that members replicate to each other. */
  public FactStore facts() {
    return facts;
  }

  /** Event counters by name. */
  public Map<String, Long> counts() {
    return local.counts;
  }

  /** Health score of Lifeguard (a SWIM extension): 0 is healthy, higher lengthens timeouts. */
  public int healthScore() {
    return local.healthScore;
  }

  /** The time at which {@link #tick} must be called next. */
  public long nextDeadline() {
    long deadline = nextProbeAt;
    if (probe != null && !probe.indirect && !probe.acknowledged) {
      deadline = Math.min(deadline, probe.directTimeoutAt);
    }
    if (!indirectProbes.isEmpty()) {
      deadline = Math.min(deadline, indirectProbes.values().iterator().next().deadline);
    }
    return Math.min(deadline, members.nextSuspicionDeadline());
  }

  // ---- Inputs ----

  /** Processes the deadlines that have passed by the given time. */
  public List<Action> tick(long now) {
    advanceClock(now);
    if (probe != null
        && !probe.acknowledged
        && !probe.indirect
        && local.now >= probe.directTimeoutAt) {
      probeIndirectly();
    }
    members.expireSuspicions();
    for (Iterator<IndirectProbe> iterator = indirectProbes.values().iterator();
        iterator.hasNext(); ) {
      IndirectProbe indirectProbe = iterator.next();
      if (indirectProbe.deadline > local.now) {
        break;
      }
      iterator.remove();
      outbox.send(
          Message.Kind.NACK,
          indirectProbe.requester,
          indirectProbe.requestId,
          indirectProbe.target,
          "",
          null);
    }
    if (local.now >= nextProbeAt) {
      startProbeRound();
    }
    return outbox.drainActions();
  }

  /** Processes a message received from an address. */
  public List<Action> receive(long now, String address, Message message) {
    advanceClock(now);
    if (!message.sender().isValid()
        || !message.updates().stream().allMatch(MemberState::isValid)
        || !message.facts().stream().allMatch(Fact::isValid)) {
      local.count("unusable");
      return outbox.drainActions();
    }
    MemberState senderState = message.sender();
    if (senderState.name().equals(local.self.name())
        && senderState.instanceId() == local.self.instanceId()) {
      local.count("own");
      return outbox.drainActions();
    }
    merge(senderState);
    Member sender = members.get(senderState.name());
    if (sender != null
        && sender.state.instanceId() == senderState.instanceId()
        && !sender.replayWindow.accept(senderState.instanceId(), message.messageNumber())) {
      local.count("repeated");
      return outbox.drainActions();
    }
    message.updates().forEach(this::merge);
    for (Fact fact : message.facts()) {
      mergeFact(fact);
    }
    switch (message.kind()) {
      case PING -> onPing(address, message);
      case ACK -> onAck(message);
      case PING_REQ -> onPingReq(address, message);
      case NACK -> {
        if (probe != null && probe.requestId == message.requestId()) {
          probe.nacks++;
        }
      }
      case SYNC_REQUEST ->
          sendPage(
              Message.Kind.SYNC_RESPONSE,
              address,
              message.requestId(),
              message.targetOrStartKey(),
              correctionFor(senderState));
      case SYNC_RESPONSE -> onSyncResponse(message);
      default -> throw new IllegalStateException();
    }
    return outbox.drainActions();
  }

  /** Sets and announces this member's stage. */
  public List<Action> setStage(long now, Stage stage) {
    advanceClock(now);
    if (local.self.stage() != stage) {
      outbox.updateSelf(
          local.self.withIncarnation(local.self.incarnation() + 1, MemberStatus.ALIVE, stage));
    }
    return outbox.drainActions();
  }

  /** Leaves: announces it at once to several members, as no later message will carry it. */
  public List<Action> leave(long now) {
    advanceClock(now);
    outbox.updateSelf(
        local.self.withIncarnation(local.self.incarnation() + 1, MemberStatus.LEFT, Stage.LEAVING));
    for (Member member : members.randomLiveMembers(config.indirectProbes() * 2, null)) {
      outbox.send(
          Message.Kind.PING,
          member.state.address(),
          ++lastRequestId,
          member.state.name(),
          "",
          null);
    }
    return outbox.drainActions();
  }

  /** Publishes this member's values for a kind and subject; they expire unless renewed. */
  public List<Action> publishFact(
      long now, String kind, String subject, long[] values, long ttlNanos) {
    advanceClock(now);
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
            ttlNanos);
    if (facts.merge(local.now, fact)) {
      outbox.gossip(fact);
    }
    return outbox.drainActions();
  }

  // ---- Timers ----

  /**
   * Advances the clock. A process that was paused has received nothing in the meantime and must not
   * suspect the others: pending probes are discarded, suspicions are extended by the pause, and the
   * local health score is set to its maximum.
   */
  private void advanceClock(long now) {
    long delay = now - Math.max(local.now, nextDeadline());
    local.now = Math.max(local.now, now);
    if (delay > config.probeIntervalNanos()) {
      local.count("stalled");
      local.healthScore = LocalState.MAX_HEALTH_SCORE;
      probe = null;
      sync = null;
      indirectProbes.clear();
      members.postponeSuspicions(delay);
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
      attemptRejoin();
    }
    if (local.now >= nextSyncAt && sync == null) {
      nextSyncAt =
          local.now
              + (long)
                  (config.syncIntervalNanos()
                      * Math.max(1, local.liveMembers / (double) SYNC_SCALING_MEMBERS));
      members
          .randomLiveMembers(1, null)
          .forEach(member -> sync = requestSync(member.state.address(), "", 0, member.state));
    }
  }

  /** Evaluates the probe of the previous round. */
  private void finishProbe() {
    if (probe == null) {
      return;
    }
    Member target = probe.target;
    if (probe.acknowledged) {
      local.healthScore = Math.max(0, local.healthScore - 1);
    } else if (members.get(target.state.name()) == target && target.state.status().isLive()) {
      // Helpers that send not even a nack indicate that this member's own links are faulty.
      local.raiseHealthScore(probe.helpersAsked > 0 && probe.nacks == 0 ? 2 : 1);
      members.suspect(target, local.self.name());
    }
    probe = null;
  }

  /** The target's ack is overdue: pings it once more and asks other members to probe it. */
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
   * Contacts dead members and seeds that are unknown or have left. Without this, the two sides of a
   * healed partition that declared each other dead would stay apart, and so would a member whose
   * seeds were down when it started.
   */
  private void attemptRejoin() {
    List<String> addresses = new ArrayList<>();
    Map<String, MemberState> byAddress = new HashMap<>();
    for (Member member : members.all()) {
      byAddress.put(member.state.address(), member.state);
      if (member.state.status() == MemberStatus.DEAD) {
        addresses.add(member.state.address());
      }
    }
    for (String seed : config.seeds()) {
      MemberState known = byAddress.get(seed);
      if (!seed.equals(local.self.address())
          && (known == null || known.status() == MemberStatus.LEFT)) {
        addresses.add(seed);
      }
    }
    members.shuffle(addresses);
    for (String address :
        addresses.subList(
            0, Math.min(local.liveMembers == 1 ? MAX_CONTACTS_PER_REJOIN : 1, addresses.size()))) {
      MemberState known = byAddress.get(address);
      sendPage(
          Message.Kind.SYNC_REQUEST,
          address,
          ++lastRequestId,
          "",
          known == null ? List.of() : List.of(known));
    }
  }

  // ---- Messages ----

  private void onPing(String address, Message message) {
    // A process that has taken over another member's address must not answer on its behalf: the ack
    // has request ID 0 and only introduces the process.
    boolean isTarget = message.targetOrStartKey().equals(local.self.name());
    Message ack =
        outbox.compose(
            Message.Kind.ACK,
            isTarget ? message.requestId() : 0,
            local.self.name(),
            "",
            correctionFor(message.sender()));
    outbox.transmit(address, ack, true);
  }

  /**
   * A list of the state held of the sender if it differs from what the sender announces, or empty.
   * The sender may not know of a state reported of it, such as SUSPECT, that it must refute.
   */
  private List<MemberState> correctionFor(MemberState announced) {
    Member sender = members.get(announced.name());
    MemberState held =
        sender == null
            ? announced.name().equals(local.self.name()) ? local.self : null
            : sender.state;
    return held == null || held.equals(announced) ? List.of() : List.of(held);
  }

  private void onAck(Message message) {
    if (probe != null
        && probe.requestId == message.requestId()
        && probe.target.state.name().equals(message.targetOrStartKey())) {
      probe.acknowledged = true;
    }
    IndirectProbe indirectProbe = indirectProbes.get(message.requestId());
    if (indirectProbe != null && indirectProbe.target.equals(message.sender().name())) {
      indirectProbes.remove(message.requestId());
      outbox.send(
          Message.Kind.ACK,
          indirectProbe.requester,
          indirectProbe.requestId,
          indirectProbe.target,
          "",
          null);
    }
  }

  private void onPingReq(String address, Message message) {
    Member target = members.get(message.targetOrStartKey());
    if (target != null && indirectProbes.size() < MAX_INDIRECT_PROBES) {
      indirectProbes.put(
          ++lastRequestId,
          new IndirectProbe(
              address,
              message.requestId(),
              message.targetOrStartKey(),
              local.now + config.probeTimeoutNanos()));
      outbox.send(
          Message.Kind.PING,
          target.state.address(),
          lastRequestId,
          message.targetOrStartKey(),
          "",
          target.state);
    }
  }

  private Sync requestSync(String address, String startKey, int retries, MemberState known) {
    sendPage(
        Message.Kind.SYNC_REQUEST,
        address,
        ++lastRequestId,
        startKey,
        known == null ? List.of() : List.of(known));
    return new Sync(
        address, lastRequestId, startKey, retries, local.now + config.probeIntervalNanos());
  }

  private void onSyncResponse(Message message) {
    boolean isCurrentSync = sync != null && sync.requestId == message.requestId();
    boolean hasNextPage =
        !message.nextKey().isEmpty() && message.nextKey().compareTo(message.targetOrStartKey()) > 0;
    if (hasNextPage && (isCurrentSync || sync == null)) {
      sync = requestSync(message.sender().address(), message.nextKey(), 0, null);
    } else if (isCurrentSync) {
      sync = null;
    }
  }

  private void sendPage(
      Message.Kind kind,
      String address,
      long requestId,
      String startKey,
      List<MemberState> firstStates) {
    outbox.sendSyncPage(
        kind, address, requestId, startKey, firstStates, members.statesFrom(startKey));
  }

  private void merge(MemberState state) {
    if (state.name().equals(local.self.name())) {
      selfClaims.merge(state);
    } else {
      members.merge(state);
    }
  }

  private void mergeFact(Fact fact) {
    // Only facts of the owner's current instance are accepted: facts from before a restart may be
    // delayed or replayed.
    Member owner = members.get(fact.owner());
    if (owner != null
        && owner.state.status().isLive()
        && owner.state.instanceId() == fact.instanceId()
        && facts.merge(local.now, fact)) {
      outbox.gossip(fact);
    }
  }
}
