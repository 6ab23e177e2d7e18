package tansytrack.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects a member's actions in order. Messages carry as many piggybacked updates as fit, within
 * the limit of bytes per second.
 */
final class Outbox {

  // Each update is sent this often, times the binary logarithm of the number of live members.
  private static final int TELL_PART = 3;
  private static final long SECOND = 1_000_000_000L;
  // Prefix of fact keys in sync pages; it sorts after all member names.
  private static final String FACTS = "~";

  private final Rules rules;
  private final LocalState local;
  private final Facts facts;
  private final Rumours<Word> words = new Rumours<>(Word::bytes);
  private final Rumours<Fact> factsToTell = new Rumours<>(Fact::bytes);
  private List<Action> actions = new ArrayList<>();
  private long number;
  private long secondFrom;
  private int secondBytes;

  Outbox(Rules rules, LocalState local, Facts facts) {
    this.rules = rules;
    this.local = local;
    this.facts = facts;
  }

  /** Queues a member's state for gossip. */
  void tell(Word word) {
    words.put(word.name(), word);
  }

  /** Queues a fact for gossip. */
  void tell(Fact fact) {
    factsToTell.put(fact.key(), fact);
  }

  /** Replaces this member's own state and queues it for gossip. */
  void say(Word next) {
    local.self = next;
    tell(next);
  }

  void add(Action action) {
    actions.add(action);
  }

  /** Returns and clears the collected actions. */
  List<Action> given() {
    List<Action> all = actions;
    actions = new ArrayList<>();
    return all;
  }

  /**
   * Sends a page of a sync: the given first states in any case, then held states and facts from the
   * start key on, as many as fit.
   */
  void sendPage(
      Letter.Kind kind,
      String address,
      long as,
      String from,
      List<Word> first,
      Iterable<Word> held) {
    List<Word> said = new ArrayList<>(first);
    List<Fact> seen = new ArrayList<>();
    Letter bare = new Letter(kind, 0, as, local.self, from, "", said, seen);
    // 200 bytes are reserved for the key of the next page.
    int left = rules.datagram() - bare.bytes() - 200;
    String next = "";
    for (Word one : held) {
      left -= one.bytes();
      if (left < 0) {
        next = one.name();
        break;
      }
      said.add(one);
    }
    String key = from.startsWith(FACTS) ? from.substring(FACTS.length()) : "";
    for (Fact one = facts.from(local.now, key);
        one != null && next.isEmpty();
        one = facts.from(local.now, one.key() + '\0')) {
      left -= one.bytes();
      if (left < 0) {
        next = FACTS + one.key();
      } else {
        seen.add(one);
      }
    }
    post(
        address,
        new Letter(kind, ++number, as, local.self, from, next, said, seen),
        kind == Letter.Kind.PAGE);
  }

  void send(Letter.Kind kind, String address, long as, String about, String next, Word first) {
    post(
        address,
        write(kind, as, about, next, first == null ? List.of() : List.of(first)),
        kind == Letter.Kind.ACK);
  }

  /** Composes a message with as many queued updates as fit; none above the limit of bytes. */
  Letter write(Letter.Kind kind, long as, String about, String next, List<Word> first) {
    int left =
        rules.datagram()
            - new Letter(kind, 0, as, local.self, about, next, first, List.of()).bytes();
    List<Word> said = new ArrayList<>(first);
    List<Fact> seen = new ArrayList<>();
    if (spent() < rules.bytesASecond()) {
      int often = TELL_PART * (Integer.SIZE - Integer.numberOfLeadingZeros(local.there));
      said.addAll(words.take(left, often));
      left -= said.stream().skip(first.size()).mapToInt(Word::bytes).sum();
      for (Fact fact : factsToTell.take(left, often)) {
        Fact aged = facts.now(local.now, fact);
        if (aged != null) {
          seen.add(aged);
        }
      }
    }
    return new Letter(kind, ++number, as, local.self, about, next, said, seen);
  }

  private int spent() {
    if (local.now - secondFrom >= SECOND) {
      secondFrom = local.now;
      secondBytes = 0;
    }
    return secondBytes;
  }

  /**
   * Emits a message; all messages pass through here. At twice the limit of bytes per second all but
   * acks and sync responses are withheld.
   */
  void post(String address, Letter letter, boolean owed) {
    if (!owed && spent() >= 2 * rules.bytesASecond()) {
      local.count("withheld");
      return;
    }
    secondBytes = spent() + letter.bytes();
    actions.add(new Action.Send(address, letter));
  }
}
