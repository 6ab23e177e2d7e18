package tansytrack.lab.world;

import java.util.List;

/**
 * A schedule of faults, used both for processes on sockets and in virtual time. Times are in
 * nanoseconds from the start of the run.
 */
public record Faults(
    Weather base,
    List<LinkTrouble> links,
    List<ProcessTrouble> processes,
    List<StreamTrouble> streams) {

  /** A schedule of link and process faults, without faults of streams. */
  public Faults(Weather base, List<LinkTrouble> links, List<ProcessTrouble> processes) {
    this(base, links, processes, List.of());
  }

  /** One end of a link: the name of a member, a zone, or {@code *} for any. */
  public record End(String pattern) {
    /** Matches everything. */
    public static final End ANY = new End("*");

    boolean is(String name, String place) {
      return pattern.equals("*") || pattern.equals(name) || pattern.equals(place);
    }
  }

  /**
   * Other link conditions for a time, one way or both ways; a loss of 1 is a partition. Links
   * between members that match the same end are not affected.
   */
  public record LinkTrouble(
      long at, long lasts, End from, End to, boolean bothWays, Weather weather) {

    boolean holds(long time, String name, String place, String toName, String toPlace) {
      boolean there = from.is(name, place) && to.is(toName, toPlace);
      boolean back = bothWays && from.is(toName, toPlace) && to.is(name, place);
      boolean within = !from.equals(End.ANY) && from.is(name, place) && from.is(toName, toPlace);
      return time >= at && time < at + lasts && (there || back) && !within;
    }

    boolean cuts() {
      return weather.loss() >= 1;
    }
  }

  /**
   * A fault of the connections from a manager to an engine or to the engine list. SILENT holds
   * bytes back until the fault ends, SLOW delays them, RESET resets connections, REFUSED refuses
   * new ones. With FLAKY a share of a manager's writes resets the connection, and half of the
   * written bytes reach the other side all the same, late.
   */
  public enum StreamKind {
    SILENT,
    SLOW,
    RESET,
    REFUSED,
    FLAKY
  }

  /** A fault of the streams from one end to the other for a time. */
  public record StreamTrouble(
      long at, long lasts, End from, End to, StreamKind kind, long delay, double part) {
    boolean holds(long time, String name, String place, String toName, String toPlace) {
      return time >= at && time < at + lasts && from.is(name, place) && to.is(toName, toPlace);
    }
  }

  /** The first fault that affects a stream at a time, or null. */
  public StreamTrouble stream(long time, String name, String place, String toName, String toPlace) {
    for (StreamTrouble one : streams) {
      if (one.holds(time, name, place, toName, toPlace)) {
        return one;
      }
    }
    return null;
  }

  /** A fault of a process: it is paused, killed, or told to end. */
  public enum Kind {
    STOP,
    KILL,
    END
  }

  /**
   * A member is paused for the duration; or it is killed or told to end, and started again after
   * the duration, or never if that is 0.
   */
  public record ProcessTrouble(long at, long lasts, String member, Kind kind) {}

  /** The conditions of a link at a time: those of the last matching fault, or the baseline. */
  public Weather weather(long time, String name, String place, String toName, String toPlace) {
    for (int i = links.size() - 1; i >= 0; i--) {
      if (links.get(i).holds(time, name, place, toName, toPlace)) {
        return links.get(i).weather();
      }
    }
    return base;
  }

  /** When the last partition ends; 0 if there is none. */
  public long healed() {
    return links.stream()
        .filter(LinkTrouble::cuts)
        .mapToLong(one -> one.at() + one.lasts())
        .max()
        .orElse(0);
  }
}
