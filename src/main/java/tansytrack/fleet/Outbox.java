package tansytrack.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * What leaves a member: its actions in order, among them messages that carry as many updates as
 * fit, within the bound on bytes a second.
 */
final class Outbox {

  private static final int TELL_PART =
      3; // each update goes out so often, times the binary logarithm
  private static final long SECOND = 1_000_000_000L;
  private static final String FACTS = "~"; // before the keys of facts in pages: behind all names

  private final Rules rules;
  private final LocalState local;
  private final Facts facts;
  private final Rumours<Word> words = new Rumours<>(Word::bytes);
  private final Rumours<Fact> factsToTell = new Rumours<>(Fact::bytes);
  private List<Action> actions = new ArrayList<>();
  private long number; // of letters sent
  private long secondFrom;
  private int secondBytes;

  Outbox(Rules rules, LocalState local, Facts facts) {
    this.rules = rules;
    this.local = local;
    this.facts = facts;
  }

  /** Passes on what is held of a member. */
  void tell(Word word) {
    words.put(word.name(), word);
  }

  /** Passes on a fact. */
  void tell(Fact fact) {
    factsToTell.put(fact.key(), fact);
  }

  /** Changes what this member says of itself, and passes it on. */
  void say(Word next) {
    local.self = next;
    tell(next);
  }

  void add(Action action) {
    actions.add(action);
  }

  /** The actions since it was asked last. */
  List<Action> given() {
    List<Action> all = actions;
    actions = new ArrayList<>();
    return all;
  }

  /** A page of what is held, which is given from that key on; what comes first goes in any case. */
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
    int left = rules.datagram() - bare.bytes() - 200; // for the key of the next page
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

  /** A letter with as many rumours as fit; none beyond the bound on bytes a second. */
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

  /** The one place that letters leave by: what is not owed stays within twice the bound. */
  void post(String address, Letter letter, boolean owed) {
    if (!owed && spent() >= 2 * rules.bytesASecond()) {
      local.count("withheld");
      return;
    }
    secondBytes = spent() + letter.bytes();
    actions.add(new Action.Send(address, letter));
  }
}
