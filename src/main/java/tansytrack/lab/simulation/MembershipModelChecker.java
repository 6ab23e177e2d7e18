package tansytrack.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.function.BiFunction;
import tansytrack.fleet.Action;
import tansytrack.fleet.MemberState;
import tansytrack.fleet.MemberStatus;
import tansytrack.fleet.Membership;
import tansytrack.fleet.MembershipConfig;
import tansytrack.fleet.Message;

/**
 * Explores three memberships exhaustively, breadth first up to a depth: letters delivered in any of
 * two orders, lost or doubled, one cut and its healing, one kill and one restart, time. From every
 * state reached, a fair continuation (links whole, letters in order) must end in agreement: who
 * runs is held to be there in the life that runs, who does not is not. States are told apart by
 * what is held and what is on its way, not by times and numbers.
 */
public final class MembershipModelChecker {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final String[] MEMBER_NAMES = {"a", "b", "c"};
  private static final int CHOICES = 9;

  private final MembershipConfig config = MembershipConfig.defaults(List.of("a"));
  private final BiFunction<String, Message, Message>
      messageFilter; // what becomes of a letter to that member: variants break it

  /**
   * What was found: distinct states, and the choices that led to the first from which no agreement
   * follows, or null.
   */
  public record Result(int states, int depth, List<Integer> counterexample) {}

  /** An explorer where each letter passes through the function, which may change it. */
  public MembershipModelChecker(BiFunction<String, Message, Message> post) {
    this.messageFilter = post;
  }

  private record InFlightMessage(String from, String to, Message letter) {}

  /** One play of a row of choices. */
  private final class Execution {
    final TreeMap<String, Membership> running = new TreeMap<>();
    final List<InFlightMessage> inFlight = new ArrayList<>();
    long now;
    long starts;
    boolean partitioned;
    boolean healed;
    boolean killed;
    boolean restarted;

    Execution() {
      for (String name : MEMBER_NAMES) {
        start(name);
      }
      runFairly(30 * NANOS_PER_SECOND);
      inFlight.clear();
    }

    void start(String name) {
      starts++;
      running.put(
          name,
          new Membership(
              config, MemberState.initial(name, name, "p", starts, "1", "s"), starts, now));
    }

    void execute(String from, List<Action> actions) {
      for (Action action : actions) {
        if (action instanceof Action.Send send) {
          boolean lost = partitioned && !healed && (from + send.address()).matches("ab|ba");
          if (!lost) {
            inFlight.add(
                new InFlightMessage(
                    from, send.address(), messageFilter.apply(send.address(), send.message())));
          }
        }
      }
    }

    void deliver(InFlightMessage one) {
      Membership to = running.get(one.to);
      if (to != null) {
        execute(one.to, to.receive(now, one.from, one.letter));
      }
    }

    boolean advanceTime() {
      String first =
          running.entrySet().stream()
              .min((x, y) -> Long.compare(x.getValue().nextDeadline(), y.getValue().nextDeadline()))
              .orElseThrow()
              .getKey();
      now = Math.max(now, running.get(first).nextDeadline());
      execute(first, running.get(first).tick(now));
      return true;
    }

    /** Whether the choice can be made now; then it is. */
    boolean apply(int choice) {
      boolean any = !inFlight.isEmpty();
      return switch (choice) {
        case 0 -> advanceTime();
        case 1 -> any && deliverNow(inFlight.remove(0));
        case 2 -> inFlight.size() > 1 && deliverNow(inFlight.remove(inFlight.size() - 1));
        case 3 -> any && inFlight.remove(0) != null;
        case 4 -> any && deliverNow(inFlight.get(0));
        case 5 -> partitionLink();
        case 6 -> healLink();
        case 7 -> killThird();
        default -> restartThird();
      };
    }

    private boolean partitionLink() {
      boolean possible = !partitioned;
      partitioned = true;
      return possible;
    }

    private boolean healLink() {
      boolean possible = partitioned && !healed;
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

    private boolean deliverNow(InFlightMessage one) {
      deliver(one);
      return true;
    }

    void runFairly(long length) {
      healed = true;
      long until = now + length;
      while (now < until
          && !(now > until - length + 5 * NANOS_PER_SECOND
              && inFlight.isEmpty()
              && hasConverged())) {
        while (!inFlight.isEmpty()) {
          deliver(inFlight.remove(0));
        }
        advanceTime();
      }
      healed = false;
    }

    boolean hasConverged() {
      for (Membership one : running.values()) {
        for (String name : MEMBER_NAMES) {
          Membership other = running.get(name);
          boolean there =
              one == other
                  || one.others().stream()
                      .anyMatch(
                          word ->
                              word.name().equals(name)
                                  && word.status().isLive()
                                  && (other == null
                                      || word.instanceId() == other.self().instanceId()));
          if (there != (other != null)) {
            return false;
          }
        }
      }
      return true;
    }

    String fingerprint() {
      StringJoiner all = new StringJoiner(";");
      all.add(partitioned + "," + healed + ',' + killed + ',' + restarted);
      running.forEach(
          (name, fleet) ->
              all.add(
                  name
                      + describe(fleet.self())
                      + fleet.others().stream().map(Execution.this::describe).toList()));
      inFlight.forEach(
          one ->
              all.add(
                  one.from
                      + '>'
                      + one.to
                      + one.letter.kind()
                      + describe(one.letter.sender())
                      + one.letter.targetOrStartKey()
                      + one.letter.updates().stream().map(this::describe).toList()));
      return all.toString();
    }

    private String describe(MemberState word) {
      return word.name()
          + word.instanceId()
          + '.'
          + word.incarnation()
          + word.status().name().charAt(0)
          + (word.status() == MemberStatus.SUSPECT ? word.reportedBy() : "");
    }
  }

  private Execution replay(List<Integer> choices) {
    Execution play = new Execution();
    choices.forEach(play::apply);
    return play;
  }

  /** Explores up to so many choices in a row, and so many states. */
  public Result explore(int depth, int most) {
    Set<String> seen = new HashSet<>();
    ArrayDeque<List<Integer>> next = new ArrayDeque<>(List.of(List.of()));
    int deepest = 0;
    while (!next.isEmpty() && seen.size() < most) {
      List<Integer> path = next.poll();
      Execution here = replay(path);
      if (!seen.add(here.fingerprint())) {
        continue;
      }
      deepest = path.size();
      here.runFairly(120 * NANOS_PER_SECOND);
      if (!here.hasConverged()) {
        return new Result(seen.size(), deepest, path);
      }
      for (int choice = 0; path.size() < depth && choice < CHOICES; choice++) {
        Execution after = replay(path);
        if (after.apply(choice) && !seen.contains(after.fingerprint())) {
          List<Integer> longer = new ArrayList<>(path);
          longer.add(choice);
          next.add(longer);
        }
      }
    }
    return new Result(seen.size(), deepest, null);
  }
}
