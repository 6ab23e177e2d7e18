package tansytrack.lab.world;

import java.util.List;

/**
 * What breaks when: one schedule for processes on sockets and for virtual time. Times in
 * nanoseconds from the start of the play.
 */
public record Faults(
    Weather base,
    List<LinkTrouble> links,
    List<ProcessTrouble> processes,
    List<StreamTrouble> streams) {

  /** Faults of links and processes alone, without operations by people. */
  public Faults(Weather base, List<LinkTrouble> links, List<ProcessTrouble> processes) {
    this(base, links, processes, List.of());
  }

  /** Who an end of a link is: a member by name, a place, or anybody. */
  public record End(String pattern) {
    public static final End ANY = new End("*");

    boolean is(String name, String place) {
      return pattern.equals("*") || pattern.equals(name) || pattern.equals(place);
    }
  }

  /**
   * For a while letters from the one to the other, or either way, have that weather; loss 1 is a
   * cut. Within an end nothing is changed.
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
   * What happens to a stream from a manager to an engine or the list: bytes wait until it is over;
   * come later by the spread of the weather; connections are reset; new ones are refused; or a part
   * of what a manager writes resets the connection, and half of that comes to the other side all
   * the same, late.
   */
  public enum StreamKind {
    SILENT,
    SLOW,
    RESET,
    REFUSED,
    FLAKY
  }

  /** For a while streams from the one to the other are so. */
  public record StreamTrouble(
      long at, long lasts, End from, End to, StreamKind kind, long delay, double part) {
    boolean holds(long time, String name, String place, String toName, String toPlace) {
      return time >= at && time < at + lasts && from.is(name, place) && to.is(toName, toPlace);
    }
  }

  /** What holds on a stream at a time, or null: nothing. */
  public StreamTrouble stream(long time, String name, String place, String toName, String toPlace) {
    for (StreamTrouble one : streams) {
      if (one.holds(time, name, place, toName, toPlace)) {
        return one;
      }
    }
    return null;
  }

  /** What happens to a process. */
  public enum Kind {
    STOP,
    KILL,
    END
  }

  /**
   * It is stopped for that long; or killed or told to end, and started again after it, 0: never.
   */
  public record ProcessTrouble(long at, long lasts, String member, Kind kind) {}

  /** What holds on a way at a time: the last trouble named that does. */
  public Weather weather(long time, String name, String place, String toName, String toPlace) {
    for (int i = links.size() - 1; i >= 0; i--) {
      if (links.get(i).holds(time, name, place, toName, toPlace)) {
        return links.get(i).weather();
      }
    }
    return base;
  }

  /** When the last cut ends; 0 where there is none. */
  public long healed() {
    return links.stream()
        .filter(LinkTrouble::cuts)
        .mapToLong(one -> one.at() + one.lasts())
        .max()
        .orElse(0);
  }
}
