package tansytrack.ledger;

import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.YearMonth;
import java.time.ZoneId;
import java.time.format.DateTimeParseException;
import java.time.temporal.IsoFields;
import java.time.temporal.TemporalAdjusters;

/**
 * Billing periods in a time zone, named like 2026-12, 2026-W49 or 2026-12-01. A period starts and
 * ends at midnight of that zone, or at the first moment of the day if a change to daylight saving
 * time skips midnight. The length of a period therefore varies with the length of its days.
 */
public record BillingPeriods(Length length, ZoneId zone) {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** The calendar unit of a period. */
  public enum Length {
    MONTH,
    WEEK,
    DAY
  }

  /** Returns the period that contains a time, given in nanoseconds of the Unix clock. */
  public String periodAt(long unixNanos) {
    LocalDate day =
        Instant.ofEpochSecond(
                Math.floorDiv(unixNanos, NANOS_PER_SECOND),
                Math.floorMod(unixNanos, NANOS_PER_SECOND))
            .atZone(zone)
            .toLocalDate();
    return switch (length) {
      case MONTH -> YearMonth.from(day).toString();
      case WEEK ->
          String.format(
              "%04d-W%02d",
              day.get(IsoFields.WEEK_BASED_YEAR), day.get(IsoFields.WEEK_OF_WEEK_BASED_YEAR));
      case DAY -> day.toString();
    };
  }

  /**
   * Returns the first day of a period.
   *
   * @throws InvalidPeriodException if the text is not a period; the message shows the expected form
   */
  public LocalDate firstDay(String period) {
    try {
      LocalDate day =
          switch (length) {
            case MONTH -> YearMonth.parse(period).atDay(1);
            case WEEK -> firstDayOfWeek(period);
            case DAY -> LocalDate.parse(period);
          };
      if (periodAt(startNanos(day)).equals(period)) {
        return day;
      }
    } catch (DateTimeParseException | NumberFormatException | IndexOutOfBoundsException e) {
      // Reported below, together with texts that parse but are not the name of a period.
    }
    throw new InvalidPeriodException(
        "period '"
            + period
            + "' is not valid; allowed: "
            + switch (length) {
              case MONTH -> "a month, as in 2026-12";
              case WEEK -> "a week, as in 2026-W49";
              case DAY -> "a day, as in 2026-12-01";
            });
  }

  private static LocalDate firstDayOfWeek(String period) {
    if (period.length() != 8 || period.indexOf("-W") != 4) {
      throw new NumberFormatException(period);
    }
    return LocalDate.of(Integer.parseInt(period.substring(0, 4)), 1, 4)
        .with(TemporalAdjusters.previousOrSame(DayOfWeek.MONDAY))
        .plusWeeks(Integer.parseInt(period.substring(6)) - 1);
  }

  private long startNanos(LocalDate day) {
    return day.atStartOfDay(zone).toEpochSecond() * NANOS_PER_SECOND;
  }

  /** The start of a period in nanoseconds of the Unix clock. */
  public long startNanos(String period) {
    return startNanos(firstDay(period));
  }

  /** The end of a period (exclusive) in nanoseconds of the Unix clock. */
  public long endNanos(String period) {
    LocalDate day = firstDay(period);
    return startNanos(
        switch (length) {
          case MONTH -> day.plusMonths(1);
          case WEEK -> day.plusWeeks(1);
          case DAY -> day.plusDays(1);
        });
  }

  /** The day that contains a time, in the time zone of the periods. */
  public LocalDate dayAt(long unixNanos) {
    return Instant.ofEpochSecond(Math.floorDiv(unixNanos, NANOS_PER_SECOND))
        .atZone(zone)
        .toLocalDate();
  }

  /** Thrown for a text that is not the name of a period. */
  public static final class InvalidPeriodException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidPeriodException(String message) {
      super(message);
    }
  }
}
