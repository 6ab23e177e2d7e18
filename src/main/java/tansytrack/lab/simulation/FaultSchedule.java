package tansytrack.lab.simulation;

import java.util.List;

/**
 * What breaks when: one schedule for processes on sockets and for virtual time. Times in
 * nanoseconds from the start of the play.
 */
public record FaultSchedule(
    LinkConditions baseline,
    List<LinkFault> links,
    List<ProcessFault> processes,
    List<StreamFault> streams) {

  /** Faults of links and processes alone, without operations by people. */
  public FaultSchedule(LinkConditions base, List<LinkFault> links, List<ProcessFault> processes) {
    this(base, links, processes, List.of());
  }

  /** Who an end of a link is: a member by name, a place, or anybody. */
  public record Endpoint(String pattern) {
    public static final Endpoint ANY = new Endpoint("*");

    boolean matches(String name, String place) {
      return pattern.equals("*") || pattern.equals(name) || pattern.equals(place);
    }
  }

  /**
   * For a while letters from the one to the other, or either way, have that weather; loss 1 is a
   * cut. Within an end nothing is changed.
   */
  public record LinkFault(
      long startNanos,
      long durationNanos,
      Endpoint from,
      Endpoint to,
      boolean bothWays,
      LinkConditions conditions) {

    boolean isActive(long time, String name, String place, String toName, String toPlace) {
      boolean there = from.matches(name, place) && to.matches(toName, toPlace);
      boolean back = bothWays && from.matches(toName, toPlace) && to.matches(name, place);
      boolean within =
          !from.equals(Endpoint.ANY) && from.matches(name, place) && from.matches(toName, toPlace);
      return time >= startNanos && time < startNanos + durationNanos && (there || back) && !within;
    }

    boolean isPartition() {
      return conditions.loss() >= 1;
    }
  }

  /**
   * What happens to a stream from a manager to an engine or the list: bytes wait until it is over;
   * come later by the spread of the weather; connections are reset; new ones are refused; or a part
   * of what a manager writes resets the connection, and half of that comes to the other side all
   * the same, late.
   */
  public enum StreamFaultKind {
    SILENT,
    SLOW,
    RESET,
    REFUSED,
    FLAKY
  }

  /** For a while streams from the one to the other are so. */
  public record StreamFault(
      long startNanos,
      long durationNanos,
      Endpoint from,
      Endpoint to,
      StreamFaultKind kind,
      long delayNanos,
      double share) {
    boolean isActive(long time, String name, String place, String toName, String toPlace) {
      return time >= startNanos
          && time < startNanos + durationNanos
          && from.matches(name, place)
          && to.matches(toName, toPlace);
    }
  }

  /** What holds on a stream at a time, or null: nothing. */
  public StreamFault activeStreamFault(
      long time, String name, String place, String toName, String toPlace) {
    for (StreamFault one : streams) {
      if (one.isActive(time, name, place, toName, toPlace)) {
        return one;
      }
    }
    return null;
  }

  /** What happens to a process. */
  public enum ProcessFaultKind {
    STOP,
    KILL,
    END
  }

  /**
   * It is stopped for that long; or killed or told to end, and started again after it, 0: never.
   */
  public record ProcessFault(
      long startNanos, long durationNanos, String member, ProcessFaultKind kind) {}

  /** What holds on a way at a time: the last trouble named that does. */
  public LinkConditions linkConditions(
      long time, String name, String place, String toName, String toPlace) {
    for (int i = links.size() - 1; i >= 0; i--) {
      if (links.get(i).isActive(time, name, place, toName, toPlace)) {
        return links.get(i).conditions();
      }
    }
    return baseline;
  }

  /** When the last cut ends; 0 where there is none. */
  public long lastPartitionEnd() {
    return links.stream()
        .filter(LinkFault::isPartition)
        .mapToLong(one -> one.startNanos() + one.durationNanos())
        .max()
        .orElse(0);
  }
}
