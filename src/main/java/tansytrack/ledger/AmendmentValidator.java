package tansytrack.ledger;

import java.math.BigDecimal;
import java.util.List;
import java.util.function.BiPredicate;

/** Validates an amendment before it is stored: what it corrects must exist and be in effect. */
public final class AmendmentValidator {

  private AmendmentValidator() {}

  /**
   * Returns why an amendment is rejected, or null if it is valid.
   *
   * @param all all stored amendments
   * @param entries tells whether the ledger has an entry with that epoch and number
   */
  public static String rejectionReason(
      Amendment wanted, List<Amendment> all, BiPredicate<Long, Long> entries) {
    if (wanted.author().isBlank()) {
      return "--author is empty; allowed: the name of the person who makes the correction";
    }
    if (wanted.reason().isBlank()) {
      return "--reason is empty; allowed: the reason for the correction";
    }
    if (!wanted.withdraws() && wanted.amount().compareTo(BigDecimal.ZERO) == 0) {
      return "--amount is 0; allowed: a decimal other than 0, as in -1.25";
    }
    String what = wanted.corrects();
    if (what.isEmpty()) {
      return wanted.withdraws()
          ? "--withdraw without --corrects; allowed: --corrects a:NUMBER"
          : null;
    }
    String[] parts = what.split(":", -1);
    try {
      if (parts.length == 3 && parts[0].equals("e") && !wanted.withdraws()) {
        return entries.test(Long.parseLong(parts[1]), Long.parseLong(parts[2]))
            ? null
            : "--corrects " + what + ": no such entry";
      }
      if (parts.length == 2 && parts[0].equals("a")) {
        return checkCorrectedAmendment(wanted, all, Long.parseLong(parts[1]));
      }
    } catch (NumberFormatException e) {
      // Reported below, like any other malformed reference.
    }
    return "--corrects '"
        + what
        + "' is not a valid reference; allowed: e:EPOCH:NUMBER for an entry, a:NUMBER for an"
        + " amendment"
        + (wanted.withdraws() ? " (only an amendment can be withdrawn)" : "");
  }

  private static String checkCorrectedAmendment(
      Amendment wanted, List<Amendment> all, long number) {
    for (Amendment one : all) {
      if (one.number() == number) {
        if (!one.period().equals(wanted.period()) || !one.tenant().equals(wanted.tenant())) {
          return "amendment "
              + number
              + " is of period "
              + one.period()
              + ", tenant "
              + one.tenant();
        }
        return Bill.effectiveAmendments(all).contains(number)
            ? null
            : "amendment " + number + " was withdrawn already";
      }
    }
    return "--corrects a:" + number + ": no such amendment";
  }
}
