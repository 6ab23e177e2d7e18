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
   * @param amendments all stored amendments
   * @param entryExists tells whether the ledger has an entry with that epoch and number
   */
  public static String rejectionReason(
      Amendment amendment, List<Amendment> amendments, BiPredicate<Long, Long> entryExists) {
    if (amendment.author().isBlank()) {
      return "--author is empty; allowed: the name of the person who makes the correction";
    }
    if (amendment.reason().isBlank()) {
      return "--reason is empty; allowed: the reason for the correction";
    }
    if (!amendment.withdraws() && amendment.amount().compareTo(BigDecimal.ZERO) == 0) {
      return "--amount is 0; allowed: a decimal other than 0, as in -1.25";
    }
    String reference = amendment.corrects();
    if (reference.isEmpty()) {
      return amendment.withdraws()
          ? "--withdraw without --corrects; allowed: --corrects a:NUMBER"
          : null;
    }
    String[] parts = reference.split(":", -1);
    try {
      if (parts.length == 3 && parts[0].equals("e") && !amendment.withdraws()) {
        return entryExists.test(Long.parseLong(parts[1]), Long.parseLong(parts[2]))
            ? null
            : "--corrects " + reference + ": no such entry";
      }
      if (parts.length == 2 && parts[0].equals("a")) {
        return checkCorrectedAmendment(amendment, amendments, Long.parseLong(parts[1]));
      }
    } catch (NumberFormatException e) {
      // Reported below, like any other malformed reference.
    }
    return "--corrects '"
        + reference
        + "' is not a valid reference; allowed: e:EPOCH:NUMBER for an entry, a:NUMBER for an"
        + " amendment"
        + (amendment.withdraws() ? " (only an amendment can be withdrawn)" : "");
  }

  private static String checkCorrectedAmendment(
      Amendment amendment, List<Amendment> amendments, long number) {
    for (Amendment corrected : amendments) {
      if (corrected.number() == number) {
        if (!corrected.period().equals(amendment.period())
            || !corrected.tenant().equals(amendment.tenant())) {
          return "amendment "
              + number
              + " is of period "
              + corrected.period()
              + ", tenant "
              + corrected.tenant();
        }
        return Bill.effectiveAmendments(amendments).contains(number)
            ? null
            : "amendment " + number + " was withdrawn already";
      }
    }
    return "--corrects a:" + number + ": no such amendment";
  }
}
