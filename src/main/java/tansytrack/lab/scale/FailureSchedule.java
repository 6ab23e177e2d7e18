package tansytrack.lab.scale;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;

/** The named failures that a scale run can play. */
public enum FailureSchedule {
  /** No failure. */
  NO_FAILURE("rest"),
  /** All engines of one zone fall silent, and come back cold. */
  ZONE_LOST("zone-lost"),
  /** Managers and engines of one region cannot reach those of the others. */
  REGION_CUT("region-cut"),
  /** Half of all engines are replaced by new ones, which start cold. */
  ENGINES_REPLACED("engines-replaced"),
  /** One engine is replaced. */
  ONE_REPLACED("one-replaced"),
  /** A part of the managers starts anew. */
  MANAGERS_RESTARTED("managers-restarted"),
  /** Engines are replaced, and a part of the managers hears of it late. */
  STALE_LIST("stale-list"),
  /** A part of the managers is told an empty list, and later the right one. */
  EMPTY_LIST("empty-list");

  private final String scheduleName;

  FailureSchedule(String scheduleName) {
    this.scheduleName = scheduleName;
  }

  /** Its name on the command line and in experiments. */
  public String scheduleName() {
    return scheduleName;
  }

  /** The one of that name. */
  public static Optional<FailureSchedule> fromName(String name) {
    return Arrays.stream(values())
        .filter(schedule -> schedule.scheduleName.equals(name))
        .findFirst();
  }

  /** All names, for messages. */
  public static String names() {
    return Arrays.stream(values())
        .map(FailureSchedule::scheduleName)
        .collect(Collectors.joining(", "));
  }
}
