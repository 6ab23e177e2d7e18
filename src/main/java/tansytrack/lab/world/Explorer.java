package tansytrack.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.function.BiFunction;
import tansytrack.fleet.Action;
import tansytrack.fleet.Fleet;
import tansytrack.fleet.Letter;
import tansytrack.fleet.Rules;
import tansytrack.fleet.Standing;
import tansytrack.fleet.Word;

/**
 * A bounded model checker for a membership of three. It explores all sequences of choices breadth
 * first up to a depth: the first or the last message in flight is delivered, the first is lost or
 * duplicated, one link is partitioned and healed, one member is killed and restarted, time passes.
 * From every state reached, a fair continuation (no partition, messages in order) must converge:
 * each running member considers live exactly the instances that run. States are distinguished by
 * the members' views and the messages in flight, not by times and counters.
 */
public final class Explorer {

  private static final long SECOND = 1_000_000_000L;
  private static final String[] NAMES = {"a", "b", "c"};
  private static final int CHOICES = 9;

  private final Rules rules = Rules.usual(List.of("a"));
  // Applied to each message sent, with its recipient's address; tests break the protocol with it.
  private final BiFunction<String, Letter, Letter> post;

  /**
   * The outcome of a search.
   *
   * @param states number of distinct states
   * @param depth largest number of choices made in a row
   * @param broken the choices that lead to the first state that does not converge, or null
   */
  public record Found(int states, int depth, List<Integer> broken) {}

  /** A checker that passes each message through the given function, which may change it. */
  public Explorer(BiFunction<String, Letter, Letter> post) {
    this.post = post;
  }

  private record Pending(String from, String to, Letter letter) {}

  /** The state after a sequence of choices. */
  private final class Play {
    final TreeMap<String, Fleet> running = new TreeMap<>();
    final List<Pending> pending = new ArrayList<>();
    long now;
    long lives;
    boolean cut;
    boolean healed;
    boolean killed;
    boolean restarted;

    Play() {
      for (String name : NAMES) {
        start(name);
      }
      fair(30 * SECOND);
      pending.clear();
    }

    void start(String name) {
      lives++;
      running.put(name, new Fleet(rules, Word.first(name, name, "p", lives, "1", "s"), lives, now));
    }

    void act(String from, List<Action> actions) {
      for (Action action : actions) {
        if (action instanceof Action.Send send) {
          boolean lost = cut && !healed && (from + send.address()).matches("ab|ba");
          if (!lost) {
            pending.add(
                new Pending(from, send.address(), post.apply(send.address(), send.letter())));
          }
        }
      }
    }

    void deliver(Pending one) {
      Fleet to = running.get(one.to);
      if (to != null) {
        act(one.to, to.heard(now, one.from, one.letter));
      }
    }

    boolean pass() {
      String first =
          running.entrySet().stream()
              .min((x, y) -> Long.compare(x.getValue().due(), y.getValue().due()))
              .orElseThrow()
              .getKey();
      now = Math.max(now, running.get(first).due());
      act(first, running.get(first).tick(now));
      return true;
    }

    /** Makes a choice if it is possible in this state; returns whether it was. */
    boolean choose(int choice) {
      boolean any = !pending.isEmpty();
      return switch (choice) {
        case 0 -> pass();
        case 1 -> any && done(pending.remove(0));
        case 2 -> pending.size() > 1 && done(pending.remove(pending.size() - 1));
        case 3 -> any && pending.remove(0) != null;
        case 4 -> any && done(pending.get(0));
        case 5 -> cutLink();
        case 6 -> healLink();
        case 7 -> killThird();
        default -> restartThird();
      };
    }

    private boolean cutLink() {
      boolean possible = !cut;
      cut = true;
      return possible;
    }

    private boolean healLink() {
      boolean possible = cut && !healed;
      healed |= possible;
      return possible;
    }

    private boolean killThird() {
      if (killed) {
        return false;
      }
      running.remove("c");
      killed = true;
      return true;
    }

    private boolean restartThird() {
      if (!killed || restarted) {
        return false;
      }
      start("c");
      restarted = true;
      return true;
    }

    private boolean done(Pending one) {
      deliver(one);
      return true;
    }

    void fair(long length) {
      healed = true;
      long until = now + length;
      while (now < until && !(now > until - length + 5 * SECOND && pending.isEmpty() && agreed())) {
        while (!pending.isEmpty()) {
          deliver(pending.remove(0));
        }
        pass();
      }
      healed = false;
    }

    boolean agreed() {
      for (Fleet one : running.values()) {
        for (String name : NAMES) {
          Fleet other = running.get(name);
          boolean there =
              one == other
                  || one.others().stream()
                      .anyMatch(
                          word ->
                              word.name().equals(name)
                                  && word.standing().there()
                                  && (other == null || word.life() == other.self().life()));
          if (there != (other != null)) {
            return false;
          }
        }
      }
      return true;
    }

    String print() {
      StringJoiner all = new StringJoiner(";");
      all.add(cut + "," + healed + ',' + killed + ',' + restarted);
      running.forEach(
          (name, fleet) ->
              all.add(
                  name
                      + word(fleet.self())
                      + fleet.others().stream().map(Play.this::word).toList()));
      pending.forEach(
          one ->
              all.add(
                  one.from
                      + '>'
                      + one.to
                      + one.letter.kind()
                      + word(one.letter.from())
                      + one.letter.about()
                      + one.letter.words().stream().map(this::word).toList()));
      return all.toString();
    }

    private String word(Word word) {
      return word.name()
          + word.life()
          + '.'
          + word.incarnation()
          + word.standing().name().charAt(0)
          + (word.standing() == Standing.SUSPECT ? word.by() : "");
    }
  }

  private Play play(List<Integer> choices) {
    Play play = new Play();
    choices.forEach(play::choose);
    return play;
  }

  /** Explores sequences of up to {@code depth} choices, and a limited number of states. */
  public Found explore(int depth, int most) {
    Set<String> seen = new HashSet<>();
    ArrayDeque<List<Integer>> next = new ArrayDeque<>(List.of(List.of()));
    int deepest = 0;
    while (!next.isEmpty() && seen.size() < most) {
      List<Integer> path = next.poll();
      Play here = play(path);
      if (!seen.add(here.print())) {
        continue;
      }
      deepest = path.size();
      here.fair(120 * SECOND);
      if (!here.agreed()) {
        return new Found(seen.size(), deepest, path);
      }
      for (int choice = 0; path.size() < depth && choice < CHOICES; choice++) {
        Play after = play(path);
        if (after.choose(choice) && !seen.contains(after.print())) {
          List<Integer> longer = new ArrayList<>(path);
          longer.add(choice);
          next.add(longer);
        }
      }
    }
    return new Found(seen.size(), deepest, null);
  }
}
