package tansytrack.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tansytrack.lab.proto.Claim;

/** Compares the claims of an experiment with the figures of its runs. */
public final class ClaimEvaluator {

  /**
   * A claim with its result.
   *
   * @param figure name of the figure
   * @param bound relation and bound, as text
   * @param measured the measured value, as text
   * @param held whether the claim holds; false if the figure was not measured
   */
  public record ClaimResult(String figure, String bound, String measured, boolean held) {}

  private ClaimEvaluator() {}

  /** Compares each claim with the figure that it names; a claim without a figure fails. */
  public static List<ClaimResult> evaluate(List<Claim> claims, Map<String, Double> figures) {
    List<ClaimResult> results = new ArrayList<>();
    for (Claim claim : claims) {
      Double figure = figures.get(claim.getFigure());
      boolean held =
          figure != null
              && switch (claim.getRelation()) {
                case EQUAL -> figure == claim.getBound();
                case AT_MOST -> figure <= claim.getBound();
                case AT_LEAST -> figure >= claim.getBound();
                default -> false;
              };
      String sign =
          switch (claim.getRelation()) {
            case EQUAL -> "= ";
            case AT_MOST -> "<= ";
            default -> ">= ";
          };
      results.add(
          new ClaimResult(
              claim.getFigure(),
              sign + format(claim.getBound()),
              figure == null ? "not measured" : format(figure),
              held));
    }
    return results;
  }

  /** Formats a figure: whole numbers without a fraction, others with three decimals. */
  static String format(double figure) {
    return figure == Math.rint(figure) && Math.abs(figure) < 1e15
        ? Long.toString((long) figure)
        : String.format(java.util.Locale.ROOT, "%.3f", figure);
  }
}
