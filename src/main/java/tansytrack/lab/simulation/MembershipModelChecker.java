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
 * A bounded model checker for a membership of three. It explores all sequences of choices breadth
 * first up to a depth: the first or the last message in flight is delivered, the first is lost or
 * duplicated, one link is partitioned and healed, one member is killed and restarted, time passes.
 * From every state reached, a fair continuation (no partition, messages in order) must converge:
 * each running member considers live exactly the instances that run. States are distinguished by
 * the members' views and the messages in flight, not by times and counters.
 */
public final class MembershipModelChecker {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final String[] MEMBER_NAMES = {"a", "b", "c"};
  private static final int CHOICES = 9;

  private final MembershipConfig config = MembershipConfig.defaults(List.of("a"));
  // Applied to each message sent, with its recipient's address; tests break the protocol with it.
  private final BiFunction<String, Message, Message> messageFilter;

  /**
   * The outcome of a search.
   *
   * @param states number of distinct states
   * @param depth largest number of choices made in a row
   * @param counterexample the choices that lead to the first state that does not converge, or null
   */
  public record Result(int states, int depth, List<Integer> counterexample) {}

  /** A checker that passes each message through the given function, which may change it. */
  public MembershipModelChecker(BiFunction<String, Message, Message> messageFilter) {
    this.messageFilter = messageFilter;
  }

  private record InFlightMessage(String from, String to, Message letter) {}

  /** The state after a sequence of choices. */
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

    void deliver(InFlightMessage message) {
      Membership recipient = running.get(message.to);
      if (recipient != null) {
        execute(message.to, recipient.receive(now, message.from, message.letter));
      }
    }

    boolean advanceTime() {
      String earliest =
          running.entrySet().stream()
              .min((x, y) -> Long.compare(x.getValue().nextDeadline(), y.getValue().nextDeadline()))
              .orElseThrow()
              .getKey();
      now = Math.max(now, running.get(earliest).nextDeadline());
      execute(earliest, running.get(earliest).tick(now));
      return true;
    }

    /** Makes a choice if it is possible in this state; returns whether it was. */
    boolean apply(int choice) {
      boolean anyInFlight = !inFlight.isEmpty();
      return switch (choice) {
        case 0 -> advanceTime();
        case 1 -> anyInFlight && deliverNow(inFlight.remove(0));
        case 2 -> inFlight.size() > 1 && deliverNow(inFlight.remove(inFlight.size() - 1));
        case 3 -> anyInFlight && inFlight.remove(0) != null;
        case 4 -> anyInFlight && deliverNow(inFlight.get(0));
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

    private boolean deliverNow(InFlightMessage message) {
      deliver(message);
      return true;
    }

    void runFairly(long duration) {
      healed = true;
      long until = now + duration;
      while (now < until
          && !(now > until - duration + 5 * NANOS_PER_SECOND
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
      for (Membership observer : running.values()) {
        for (String name : MEMBER_NAMES) {
          Membership other = running.get(name);
          boolean considersLive =
              observer == other
                  || observer.others().stream()
                      .anyMatch(
                          state ->
                              state.name().equals(name)
                                  && state.status().isLive()
                                  && (other == null
                                      || state.instanceId() == other.self().instanceId()));
          if (considersLive != (other != null)) {
            return false;
          }
        }
      }
      return true;
    }

    String fingerprint() {
      StringJoiner fingerprint = new StringJoiner(";");
      fingerprint.add(partitioned + "," + healed + ',' + killed + ',' + restarted);
      running.forEach(
          (name, membership) ->
              fingerprint.add(
                  name
                      + describe(membership.self())
                      + membership.others().stream().map(Execution.this::describe).toList()));
      inFlight.forEach(
          message ->
              fingerprint.add(
                  message.from
                      + '>'
                      + message.to
                      + message.letter.kind()
                      + describe(message.letter.sender())
                      + message.letter.targetOrStartKey()
                      + message.letter.updates().stream().map(this::describe).toList()));
      return fingerprint.toString();
    }

    private String describe(MemberState state) {
      return state.name()
          + state.instanceId()
          + '.'
          + state.incarnation()
          + state.status().name().charAt(0)
          + (state.status() == MemberStatus.SUSPECT ? state.reportedBy() : "");
    }
  }

  private Execution replay(List<Integer> choices) {
    Execution execution = new Execution();
    choices.forEach(execution::apply);
    return execution;
  }

  /** Explores sequences of up to {@code depth} choices, and a limited number of states. */
  public Result explore(int depth, int maxStates) {
    Set<String> seen = new HashSet<>();
    ArrayDeque<List<Integer>> frontier = new ArrayDeque<>(List.of(List.of()));
    int maxDepth = 0;
    while (!frontier.isEmpty() && seen.size() < maxStates) {
      List<Integer> path = frontier.poll();
      Execution execution = replay(path);
      if (!seen.add(execution.fingerprint())) {
        continue;
      }
      maxDepth = path.size();
      execution.runFairly(120 * NANOS_PER_SECOND);
      if (!execution.hasConverged()) {
        return new Result(seen.size(), maxDepth, path);
      }
      for (int choice = 0; path.size() < depth && choice < CHOICES; choice++) {
        Execution successor = replay(path);
        if (successor.apply(choice) && !seen.contains(successor.fingerprint())) {
          List<Integer> extended = new ArrayList<>(path);
          extended.add(choice);
          frontier.add(extended);
        }
      }
    }
    return new Result(seen.size(), maxDepth, null);
  }
}
