package tansytrack.lab.scale;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;

/** The failure schedules that a scale run can simulate. */
public enum FailureSchedule {
  /** No failure. */
  NO_FAILURE("rest"),
  /** All engines of one zone stop responding and later restart cold. */
  ZONE_LOST("zone-lost"),
  /** A network partition separates the managers and engines of one region from the others. */
  REGION_CUT("region-cut"),
  /** Half of all engines are replaced by new ones, which start cold. */
  ENGINES_REPLACED("engines-replaced"),
  /** One engine is replaced. */
  ONE_REPLACED("one-replaced"),
  /** Some managers are killed and restarted. */
  MANAGERS_RESTARTED("managers-restarted"),
  /** Half of all engines are replaced, and some managers receive the changed list late. */
  STALE_LIST("stale-list"),
  /** Some managers receive an empty list, and the correct one later. */
  EMPTY_LIST("empty-list");

  private final String scheduleName;

  FailureSchedule(String scheduleName) {
    this.scheduleName = scheduleName;
  }

  /** The name of the schedule on the command line and in experiment files. */
  public String scheduleName() {
    return scheduleName;
  }

  /** The schedule with that name, if there is one. */
  public static Optional<FailureSchedule> fromName(String name) {
    return Arrays.stream(values())
        .filter(schedule -> schedule.scheduleName.equals(name))
        .findFirst();
  }

  /** The names of all schedules, separated by commas, for messages. */
  public static String names() {
    return Arrays.stream(values())
        .map(FailureSchedule::scheduleName)
        .collect(Collectors.joining(", "));
  }
}
