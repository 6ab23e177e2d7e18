package tansytrack.lab.scale;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;

/** The named failures that a scale run can play. */
public enum FailureSchedule {
  /** No failure. */
  REST("rest"),
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

  private final String text;

  FailureSchedule(String text) {
    this.text = text;
  }

  /** Its name on the command line and in experiments. */
  public String text() {
    return text;
  }

  /** The one of that name. */
  public static Optional<FailureSchedule> named(String text) {
    return Arrays.stream(values()).filter(one -> one.text.equals(text)).findFirst();
  }

  /** All names, for messages. */
  public static String names() {
    return Arrays.stream(values()).map(FailureSchedule::text).collect(Collectors.joining(", "));
  }
}
