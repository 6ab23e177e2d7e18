package tansytrack.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects a member's actions in order. Messages carry as many piggybacked updates as fit, within
 * the limit of bytes per second.
 */
final class Outbox {

  // Each update is sent this often, times the binary logarithm of the number of live members.
  private static final int RETRANSMIT_MULTIPLIER = 3;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  // Prefix of fact keys in sync pages; it sorts after all member names.
  private static final String FACT_KEY_PREFIX = "~";

  private final MembershipConfig config;
  private final LocalState local;
  private final FactStore facts;
  private final GossipQueue<MemberState> memberQueue =
      new GossipQueue<>(MemberState::maxEncodedBytes);
  private final GossipQueue<Fact> factQueue = new GossipQueue<>(Fact::maxEncodedBytes);
  private List<Action> actions = new ArrayList<>();
  private long lastMessageNumber;
  private long rateWindowStart;
  private int rateWindowBytes;

  Outbox(MembershipConfig config, LocalState local, FactStore facts) {
    this.config = config;
    this.local = local;
    this.facts = facts;
  }

  /** Queues a member's state for gossip. */
  void gossip(MemberState state) {
    memberQueue.put(state.name(), state);
  }

  /** Queues a fact for gossip. */
  void gossip(Fact fact) {
    factQueue.put(fact.key(), fact);
  }

  /** Replaces this member's own state and queues it for gossip. */
  void updateSelf(MemberState state) {
    local.self = state;
    gossip(state);
  }

  void add(Action action) {
    actions.add(action);
  }

  /** Returns and clears the collected actions. */
  List<Action> drainActions() {
    List<Action> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }

  /**
   * Sends a page of a sync: the given first states in any case, then held states and facts from the
   * start key on, as many as fit.
   */
  void sendSyncPage(
      Message.Kind kind,
      String address,
      long requestId,
      String startKey,
      List<MemberState> firstStates,
      Iterable<MemberState> heldStates) {
    List<MemberState> pageStates = new ArrayList<>(firstStates);
    List<Fact> pageFacts = new ArrayList<>();
    Message header =
        new Message(kind, 0, requestId, local.self, startKey, "", pageStates, pageFacts);
    // 200 bytes are reserved for the key of the next page.
    int remainingBytes = config.maxMessageBytes() - header.maxEncodedBytes() - 200;
    String nextKey = "";
    for (MemberState state : heldStates) {
      remainingBytes -= state.maxEncodedBytes();
      if (remainingBytes < 0) {
        nextKey = state.name();
        break;
      }
      pageStates.add(state);
    }
    String factKey =
        startKey.startsWith(FACT_KEY_PREFIX) ? startKey.substring(FACT_KEY_PREFIX.length()) : "";
    for (Fact fact = facts.firstFrom(local.now, factKey);
        fact != null && nextKey.isEmpty();
        fact = facts.firstFrom(local.now, fact.key() + '\0')) {
      remainingBytes -= fact.maxEncodedBytes();
      if (remainingBytes < 0) {
        nextKey = FACT_KEY_PREFIX + fact.key();
      } else {
        pageFacts.add(fact);
      }
    }
    transmit(
        address,
        new Message(
            kind,
            ++lastMessageNumber,
            requestId,
            local.self,
            startKey,
            nextKey,
            pageStates,
            pageFacts),
        kind == Message.Kind.SYNC_RESPONSE);
  }

  void send(
      Message.Kind kind,
      String address,
      long requestId,
      String targetOrStartKey,
      String nextKey,
      MemberState firstState) {
    transmit(
        address,
        compose(
            kind,
            requestId,
            targetOrStartKey,
            nextKey,
            firstState == null ? List.of() : List.of(firstState)),
        kind == Message.Kind.ACK);
  }

  /** Composes a message with as many queued updates as fit; none above the limit of bytes. */
  Message compose(
      Message.Kind kind,
      long requestId,
      String targetOrStartKey,
      String nextKey,
      List<MemberState> firstStates) {
    int remainingBytes =
        config.maxMessageBytes()
            - new Message(
                    kind,
                    0,
                    requestId,
                    local.self,
                    targetOrStartKey,
                    nextKey,
                    firstStates,
                    List.of())
                .maxEncodedBytes();
    List<MemberState> states = new ArrayList<>(firstStates);
    List<Fact> currentFacts = new ArrayList<>();
    if (bytesInRateWindow() < config.maxBytesPerSecond()) {
      int maxTransmissions =
          RETRANSMIT_MULTIPLIER * (Integer.SIZE - Integer.numberOfLeadingZeros(local.liveMembers));
      states.addAll(memberQueue.take(remainingBytes, maxTransmissions));
      remainingBytes -=
          states.stream().skip(firstStates.size()).mapToInt(MemberState::maxEncodedBytes).sum();
      for (Fact fact : factQueue.take(remainingBytes, maxTransmissions)) {
        Fact current = facts.current(local.now, fact);
        if (current != null) {
          currentFacts.add(current);
        }
      }
    }
    return new Message(
        kind,
        ++lastMessageNumber,
        requestId,
        local.self,
        targetOrStartKey,
        nextKey,
        states,
        currentFacts);
  }

  private int bytesInRateWindow() {
    if (local.now - rateWindowStart >= NANOS_PER_SECOND) {
      rateWindowStart = local.now;
      rateWindowBytes = 0;
    }
    return rateWindowBytes;
  }

  /**
   * Emits a message; all messages pass through here. At twice the limit of bytes per second all but
   * acks and sync responses are withheld.
   */
  void transmit(String address, Message message, boolean required) {
    if (!required && bytesInRateWindow() >= 2 * config.maxBytesPerSecond()) {
      local.count("withheld");
      return;
    }
    rateWindowBytes = bytesInRateWindow() + message.maxEncodedBytes();
    actions.add(new Action.Send(address, message));
  }
}
