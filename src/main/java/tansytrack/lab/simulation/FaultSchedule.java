package tansytrack.lab.simulation;

import java.util.List;

/**
 * A schedule of faults, used both for processes on sockets and in virtual time. Times are in
 * nanoseconds from the start of the run.
 */
public record FaultSchedule(
    LinkConditions baseline,
    List<LinkFault> links,
    List<ProcessFault> processes,
    List<StreamFault> streams) {

  /** A schedule of link and process faults, without faults of streams. */
  public FaultSchedule(LinkConditions base, List<LinkFault> links, List<ProcessFault> processes) {
    this(base, links, processes, List.of());
  }

  /** One end of a link: the name of a member, a zone, or {@code *} for any. */
  public record Endpoint(String pattern) {
    /** Matches everything. */
    public static final Endpoint ANY = new Endpoint("*");

    boolean matches(String name, String zone) {
      return pattern.equals("*") || pattern.equals(name) || pattern.equals(zone);
    }
  }

  /**
   * Other link conditions for a time, one way or both ways; a loss of 1 is a partition. Links
   * between members that match the same end are not affected.
   */
  public record LinkFault(
      long startNanos,
      long durationNanos,
      Endpoint from,
      Endpoint to,
      boolean bothWays,
      LinkConditions conditions) {

    boolean isActive(long time, String name, String zone, String toName, String toZone) {
      boolean forward = from.matches(name, zone) && to.matches(toName, toZone);
      boolean backward = bothWays && from.matches(toName, toZone) && to.matches(name, zone);
      boolean withinEnd =
          !from.equals(Endpoint.ANY) && from.matches(name, zone) && from.matches(toName, toZone);
      return time >= startNanos
          && time < startNanos + durationNanos
          && (forward || backward)
          && !withinEnd;
    }

    boolean isPartition() {
      return conditions.loss() >= 1;
    }
  }

  /**
   * A fault of the connections from a manager to an engine or to the engine list. SILENT holds
   * bytes back until the fault ends, SLOW delays them, RESET resets connections, REFUSED refuses
   * new ones. With FLAKY a share of a manager's writes resets the connection, and half of the
   * written bytes reach the other side all the same, late. With LATE the first bytes of a share of
   * new connections are delayed.
   */
  public enum StreamFaultKind {
    SILENT,
    SLOW,
    RESET,
    REFUSED,
    FLAKY,
    LATE
  }

  /** A fault of the streams from one end to the other for a time. */
  public record StreamFault(
      long startNanos,
      long durationNanos,
      Endpoint from,
      Endpoint to,
      StreamFaultKind kind,
      long delayNanos,
      double share) {
    boolean isActive(long time, String name, String zone, String toName, String toZone) {
      return time >= startNanos
          && time < startNanos + durationNanos
          && from.matches(name, zone)
          && to.matches(toName, toZone);
    }
  }

  /** The first fault that affects a stream at a time, or null. */
  public StreamFault activeStreamFault(
      long time, String name, String zone, String toName, String toZone) {
    for (StreamFault fault : streams) {
      if (fault.isActive(time, name, zone, toName, toZone)) {
        return fault;
      }
    }
    return null;
  }

  /** A fault of a process: it is paused, killed, or told to end. */
  public enum ProcessFaultKind {
    STOP,
    KILL,
    END
  }

  /**
   * A member is paused for the duration; or it is killed or told to end, and started again after
   * the duration, or never if that is 0.
   */
  public record ProcessFault(
      long startNanos, long durationNanos, String member, ProcessFaultKind kind) {}

  /** The conditions of a link at a time: those of the last matching fault, or the baseline. */
  public LinkConditions linkConditions(
      long time, String name, String zone, String toName, String toZone) {
    for (int i = links.size() - 1; i >= 0; i--) {
      if (links.get(i).isActive(time, name, zone, toName, toZone)) {
        return links.get(i).conditions();
      }
    }
    return baseline;
  }

  /** When the last partition ends; 0 if there is none. */
  public long lastPartitionEnd() {
    return links.stream()
        .filter(LinkFault::isPartition)
        .mapToLong(fault -> fault.startNanos() + fault.durationNanos())
        .max()
        .orElse(0);
  }
}
