package tansytrack.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tansytrack.lab.proto.Claim;

/** What an experiment claims, held against the figures of a run. */
public final class ClaimEvaluator {

  /** One claim with what was measured; a figure that was not measured does not hold. */
  public record ClaimResult(String figure, String bound, String measured, boolean held) {}

  private ClaimEvaluator() {}

  /** Compares each claim with the figure that it names; one without a figure is not held. */
  public static List<ClaimResult> evaluate(List<Claim> claims, Map<String, Double> figures) {
    List<ClaimResult> judged = new ArrayList<>();
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
      judged.add(
          new ClaimResult(
              claim.getFigure(),
              sign + format(claim.getBound()),
              figure == null ? "not measured" : format(figure),
              held));
    }
    return judged;
  }

  static String format(double figure) {
    return figure == Math.rint(figure) && Math.abs(figure) < 1e15
        ? Long.toString((long) figure)
        : String.format(java.util.Locale.ROOT, "%.3f", figure);
  }
}
