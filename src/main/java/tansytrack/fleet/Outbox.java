package tansytrack.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * What leaves a member: its actions in order, among them messages that carry as many updates as
 * fit, within the bound on bytes a second.
 */
final class Outbox {

  private static final int RETRANSMIT_MULTIPLIER =
      3; // each update goes out so often, times the binary logarithm
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final String FACT_KEY_PREFIX =
      "~"; // before the keys of facts in pages: behind all names

  private final MembershipConfig config;
  private final LocalState local;
  private final FactStore facts;
  private final GossipQueue<MemberState> memberQueue =
      new GossipQueue<>(MemberState::maxEncodedBytes);
  private final GossipQueue<Fact> factQueue = new GossipQueue<>(Fact::maxEncodedBytes);
  private List<Action> actions = new ArrayList<>();
  private long lastMessageNumber; // of letters sent
  private long rateWindowStart;
  private int rateWindowBytes;

  Outbox(MembershipConfig rules, LocalState local, FactStore facts) {
    this.config = rules;
    this.local = local;
    this.facts = facts;
  }

  /** Passes on what is held of a member. */
  void gossip(MemberState word) {
    memberQueue.put(word.name(), word);
  }

  /** Passes on a fact. */
  void gossip(Fact fact) {
    factQueue.put(fact.key(), fact);
  }

  /** Changes what this member says of itself, and passes it on. */
  void updateSelf(MemberState next) {
    local.self = next;
    gossip(next);
  }

  void add(Action action) {
    actions.add(action);
  }

  /** The actions since it was asked last. */
  List<Action> drainActions() {
    List<Action> all = actions;
    actions = new ArrayList<>();
    return all;
  }

  /** A page of what is held, which is given from that key on; what comes first goes in any case. */
  void sendSyncPage(
      Message.Kind kind,
      String address,
      long as,
      String from,
      List<MemberState> first,
      Iterable<MemberState> held) {
    List<MemberState> said = new ArrayList<>(first);
    List<Fact> seen = new ArrayList<>();
    Message bare = new Message(kind, 0, as, local.self, from, "", said, seen);
    int left =
        config.maxMessageBytes() - bare.maxEncodedBytes() - 200; // for the key of the next page
    String next = "";
    for (MemberState one : held) {
      left -= one.maxEncodedBytes();
      if (left < 0) {
        next = one.name();
        break;
      }
      said.add(one);
    }
    String key = from.startsWith(FACT_KEY_PREFIX) ? from.substring(FACT_KEY_PREFIX.length()) : "";
    for (Fact one = facts.firstFrom(local.now, key);
        one != null && next.isEmpty();
        one = facts.firstFrom(local.now, one.key() + '\0')) {
      left -= one.maxEncodedBytes();
      if (left < 0) {
        next = FACT_KEY_PREFIX + one.key();
      } else {
        seen.add(one);
      }
    }
    transmit(
        address,
        new Message(kind, ++lastMessageNumber, as, local.self, from, next, said, seen),
        kind == Message.Kind.SYNC_RESPONSE);
  }

  void send(
      Message.Kind kind, String address, long as, String about, String next, MemberState first) {
    transmit(
        address,
        compose(kind, as, about, next, first == null ? List.of() : List.of(first)),
        kind == Message.Kind.ACK);
  }

  /** A letter with as many rumours as fit; none beyond the bound on bytes a second. */
  Message compose(Message.Kind kind, long as, String about, String next, List<MemberState> first) {
    int left =
        config.maxMessageBytes()
            - new Message(kind, 0, as, local.self, about, next, first, List.of()).maxEncodedBytes();
    List<MemberState> said = new ArrayList<>(first);
    List<Fact> seen = new ArrayList<>();
    if (bytesInRateWindow() < config.maxBytesPerSecond()) {
      int often =
          RETRANSMIT_MULTIPLIER * (Integer.SIZE - Integer.numberOfLeadingZeros(local.liveMembers));
      said.addAll(memberQueue.take(left, often));
      left -= said.stream().skip(first.size()).mapToInt(MemberState::maxEncodedBytes).sum();
      for (Fact fact : factQueue.take(left, often)) {
        Fact aged = facts.current(local.now, fact);
        if (aged != null) {
          seen.add(aged);
        }
      }
    }
    return new Message(kind, ++lastMessageNumber, as, local.self, about, next, said, seen);
  }

  private int bytesInRateWindow() {
    if (local.now - rateWindowStart >= NANOS_PER_SECOND) {
      rateWindowStart = local.now;
      rateWindowBytes = 0;
    }
    return rateWindowBytes;
  }

  /** The one place that letters leave by: what is not owed stays within twice the bound. */
  void transmit(String address, Message letter, boolean owed) {
    if (!owed && bytesInRateWindow() >= 2 * config.maxBytesPerSecond()) {
      local.count("withheld");
      return;
    }
    rateWindowBytes = bytesInRateWindow() + letter.maxEncodedBytes();
    actions.add(new Action.Send(address, letter));
  }
}
