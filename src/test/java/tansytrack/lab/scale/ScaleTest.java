package tansytrack.lab.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import tansytrack.Decide;
import tansytrack.LabCommands;
import tansytrack.api.Actions;
import tansytrack.api.DecisionModule;
import tansytrack.api.EngineEntry;
import tansytrack.api.EngineStatus;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.api.TaskRequest;
import tansytrack.lab.ScaleTable;

/** Scale simulations. The tests check counts in virtual time only, so they are deterministic. */
class ScaleTest {

  private static final ScaleTable.SizeSeries ONE_SIZE =
      new ScaleTable.SizeSeries(1, 2, ScaleTable.Dimension.BOTH);

  private static final PrintStream DISCARD = new PrintStream(OutputStream.nullOutputStream());

  @TempDir Path folder;

  private static ScalePlan plan(int managers, int engines, FailureSchedule schedule, long seed) {
    return new ScalePlan(managers, engines, 5, 6, 10, schedule, seed);
  }

  private static ScaleResult simulate(ScalePlan plan, ModuleFactory factory) {
    ScaleSimulation simulation = new ScaleSimulation(plan, factory, Workers.SEQUENTIAL);
    simulation.run(fraction -> {});
    return ScaleResult.of(simulation);
  }

  private static double figure(ScaleResult result, String name) {
    return result.figures().get(name);
  }

  // ---- Counts ----

  @Test
  void managersOfASmallFleetHoldEveryEngineAndServeEveryStatement() {
    ScaleResult result = simulate(plan(20, 60, FailureSchedule.NO_FAILURE, 1), Decide::new);
    assertThat(figure(result, "pairs_known")).isEqualTo(20 * 60);
    assertThat(figure(result, "managers_an_engine_min")).isEqualTo(20);
    assertThat(figure(result, "even_part_over_mean_max")).isEqualTo(1);
    assertThat(figure(result, "in_time_share_min")).isEqualTo(1);
    assertThat(figure(result, "engines_a_manager_max")).isEqualTo(60);
    assertThat(figure(result, "statements")).isBetween(1000.0, 1400.0);
    assertThat(figure(result, "attempts_a_statement")).isEqualTo(1);
  }

  @Test
  void oneReplacedEngineChangesOnePairOfEachManagerThatHoldsIt() {
    ScaleResult result = simulate(plan(20, 60, FailureSchedule.ONE_REPLACED, 1), Decide::new);
    assertThat(figure(result, "pairs_added")).isEqualTo(20);
    assertThat(figure(result, "pairs_removed")).isEqualTo(20);
  }

  @ParameterizedTest
  @ValueSource(doubles = {8, 64, 400})
  void statementsArriveAtTheConfiguredRate(double rate) {
    ScalePlan plan = new ScalePlan(20, 60, 5, 6, rate, FailureSchedule.NO_FAILURE, 1);
    double intended = 20 * rate * 6;
    assertThat(figure(simulate(plan, Decide::new), "statements"))
        .isBetween(0.92 * intended, 1.08 * intended);
  }

  @Test
  void largerFleetHoldsABoundedSubsetEvenly() {
    ScaleResult result = simulate(plan(64, 600, FailureSchedule.NO_FAILURE, 1), Decide::new);
    // A quarter of 600 engines exceeds the limit of 128, so a manager holds an eighth: 75 engines,
    // and 8 of the 64 managers hold each engine.
    assertThat(figure(result, "managers_an_engine_min")).isEqualTo(8);
    assertThat(figure(result, "managers_an_engine_max")).isEqualTo(8);
    assertThat(figure(result, "engines_a_manager_mean")).isEqualTo(75);
    assertThat(figure(result, "engines_a_manager_max")).isLessThanOrEqualTo(128);
    assertThat(figure(result, "even_part_over_mean_max")).isLessThan(1.25);
    assertThat(figure(result, "pairs_used")).isLessThanOrEqualTo(figure(result, "pairs_known"));
  }

  @Test
  void oneReplacedEngineOfALargerFleetChangesThePairsOfItsSubsetOnly() {
    ScaleResult result = simulate(plan(64, 600, FailureSchedule.ONE_REPLACED, 1), Decide::new);
    assertThat(figure(result, "pairs_added")).isEqualTo(8);
    assertThat(figure(result, "pairs_removed")).isEqualTo(8);
  }

  @ParameterizedTest
  @EnumSource(FailureSchedule.class)
  void noFailureScheduleCausesAViolation(FailureSchedule schedule) {
    assertNoViolations(simulate(plan(40, 100, schedule, 3), Decide::new));
  }

  @ParameterizedTest
  @EnumSource(FailureSchedule.class)
  void noFailureScheduleCausesAViolationWhereManagersHoldSubsets(FailureSchedule schedule) {
    assertNoViolations(simulate(plan(48, 300, schedule, 3), Decide::new));
  }

  private static void assertNoViolations(ScaleResult result) {
    assertThat(figure(result, "cold_pushed_over")).isZero();
    assertThat(figure(result, "cold_fallen")).isZero();
    assertThat(figure(result, "drain_broken")).isZero();
    assertThat(figure(result, "unanswered")).isZero();
    assertThat(figure(result, "in_time_share_min")).isGreaterThan(0.9);
  }

  // ---- Violations are detected ----

  /** Forwards every task to the newest or to the oldest listed engine, whatever its state. */
  private static final class SingleEngineModule implements DecisionModule {
    private final Actions actions;
    private final boolean newest;
    private final List<String> engineIds = new ArrayList<>();

    SingleEngineModule(Actions actions, boolean newest) {
      this.actions = actions;
      this.newest = newest;
    }

    @Override
    public void onEngineList(long now, boolean complete, List<EngineEntry> entries) {
      entries.stream()
          .filter(entry -> !engineIds.contains(entry.id()))
          .forEach(entry -> engineIds.add(entry.id()));
    }

    @Override
    public void onTask(long now, TaskRequest request) {
      actions.forward(request.id(), engineIds.get(newest ? engineIds.size() - 1 : 0), 0);
    }

    @Override
    public void onAdmissionChange(long now, boolean open) {}

    @Override
    public void onManagerCount(long now, int count) {}

    @Override
    public void onForwardEnd(
        long now,
        String task,
        int index,
        String engine,
        Outcome outcome,
        long lag,
        boolean over,
        long cost,
        double memoryMb,
        LoadReport report) {}

    @Override
    public void onForwardReceived(
        long now, String task, int index, String engine, long receivedBy) {}

    @Override
    public void onProbeEnd(long now, String engine, Outcome outcome, LoadReport report) {}

    @Override
    public void onProgress(
        long now, String task, int index, String engine, Progress what, double amount) {}

    @Override
    public void onWakeUp(long now, String token) {}

    @Override
    public void onClientLeft(long now, String task) {}

    @Override
    public void onShutdown(long now, long until) {}

    @Override
    public void decide(long now) {}

    @Override
    public List<EngineStatus> engineStatuses(long now) {
      return engineIds.stream().map(id -> new EngineStatus(id, 0, -1, false)).toList();
    }
  }

  @Test
  void aColdEngineThatAllManagersUseExceedsItsLimitAndFails() {
    ScaleResult result =
        simulate(
            plan(40, 100, FailureSchedule.ONE_REPLACED, 1),
            (settings, actions) -> new SingleEngineModule(actions, true));
    assertThat(figure(result, "cold_pushed_over")).isEqualTo(1);
    assertThat(figure(result, "cold_fallen")).isPositive();
  }

  @Test
  void forwardsToADrainingEngineAreCounted() {
    ScaleResult result =
        simulate(
            plan(40, 100, FailureSchedule.ONE_REPLACED, 1),
            (settings, actions) -> new SingleEngineModule(actions, false));
    assertThat(figure(result, "drain_broken")).isPositive();
    assertThat(figure(result, "work_over_mean_max")).isZero();
  }

  // ---- Determinism ----

  private String runAndReadOutput(ScalePlan plan, int threads, String name) throws IOException {
    ByteArrayOutputStream captured = new ByteArrayOutputStream();
    PrintStream output = new PrintStream(captured, true, StandardCharsets.UTF_8);
    Path out = folder.resolve(name);
    ScaleTable.run(plan, ONE_SIZE, Decide::new, threads, out, output, DISCARD);
    return captured.toString(StandardCharsets.UTF_8)
        + Files.readString(out.resolve("result.csv"))
        + Files.readString(out.resolve("engines.csv"))
        + Files.readString(out.resolve("managers.csv"));
  }

  @Test
  void theSameSeedGivesTheSameOutputWithAnyNumberOfThreads() throws IOException {
    ScalePlan plan = plan(20, 60, FailureSchedule.ENGINES_REPLACED, 5);
    String first = runAndReadOutput(plan, 1, "first");
    assertThat(runAndReadOutput(plan, 1, "again")).isEqualTo(first);
    assertThat(runAndReadOutput(plan, 3, "threads")).isEqualTo(first);
    assertThat(runAndReadOutput(plan(20, 60, FailureSchedule.ENGINES_REPLACED, 6), 1, "other"))
        .isNotEqualTo(first.replace("seed 5", "seed 6"));
  }

  // ---- Slopes ----

  @Test
  void slopeFitsTheExponentAndPredictsTheLargestSize() {
    double[] sizes = {10, 20, 40, 80, 160};
    double[] figures = {200, 800, 3200, 12_800, 51_200};
    Slope slope = Slope.of(sizes, figures);
    assertThat(slope.law().exponent()).isBetween(1.999, 2.001);
    assertThat(slope.usable()).isTrue();
  }

  @Test
  void slopeWithAStepIsNotUsable() {
    double[] sizes = {10, 20, 40, 80, 160};
    double[] figures = {10, 20, 40, 80, 80};
    assertThat(Slope.of(sizes, figures).usable()).isFalse();
  }

  @Test
  void pairsGrowWithTheSquareOfTheSize() throws IOException {
    ScalePlan largest = plan(32, 80, FailureSchedule.NO_FAILURE, 1);
    ScaleTable.SizeSeries ladder = new ScaleTable.SizeSeries(5, 2, ScaleTable.Dimension.BOTH);
    ScaleTable.run(largest, ladder, Decide::new, 1, folder, DISCARD, DISCARD);
    assertThat(folder.resolve("slopes.csv"))
        .content()
        .contains("pairs_known,2.0000,2560,2560,0.0000,true");
    assertThat(folder.resolve("slopes.png")).exists();
  }

  // ---- Invalid options ----

  private String runRejected(String options) throws IOException, CmdLineException {
    LabCommands.Scale command = new LabCommands.Scale();
    new CmdLineParser(command).parseArgument((options + " --out " + folder).split(" "));
    PrintStream originalErr = System.err;
    ByteArrayOutputStream captured = new ByteArrayOutputStream();
    System.setErr(new PrintStream(captured, true, StandardCharsets.UTF_8));
    try {
      assertThat(command.run()).isEqualTo(2);
    } finally {
      System.setErr(originalErr);
    }
    assertThat(folder).isEmptyDirectory();
    return captured.toString(StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "--managers 0 --engines 5; --managers '0'; 1 to",
        "--managers 5 --engines 0; --engines '0'; 1 to",
        "--managers 5 --engines 5 --zones 6; --zones '6'; 1 to 5",
        "--managers 5 --engines 5 --seconds 0; --seconds '0'; 1 to 3600",
        "--managers 5 --engines 5 --rate 0; --rate '0'; 0.010 to",
        "--managers 5 --engines 5 --rate 9000; --rate '9000'; at most 1000.0",
        "--managers 5 --engines 5 --threads 0; --threads '0'; 1 to",
        "--managers 5 --engines 5 --schedule storm; --schedule 'storm'; rest, zone-lost",
        "--managers 80 --engines 80 --sizes 3; --sizes '3'; 5 to 20",
        "--managers 4 --engines 80 --sizes 5; --managers '0'; 1 to"
      })
  void invalidOptionsAreReportedWithTheAllowedValues(
      String options, String reportedOption, String allowed) throws Exception {
    assertThat(runRejected(options)).contains(reportedOption, "allowed: ", allowed);
  }

  @Test
  void sizesThatNeedOverHalfOfTheMemoryAreRejectedBeforeTheRun() throws Exception {
    assertThat(runRejected("--managers 2000000000 --engines 2000000000"))
        .contains("'2000000000 managers x 2000000000 engines' need ", "half of this machine's");
  }

  @Test
  void memoryEstimateGrowsWithTheEnginesThatAManagerHolds() {
    ScalePlan plan = plan(20, 60, FailureSchedule.NO_FAILURE, 1);
    int enginesHeld = SubsetSize.enginesPerManager(plan, Decide::new);
    assertThat(enginesHeld).isEqualTo(60);
    assertThat(MemoryEstimate.bytes(plan, enginesHeld))
        .isGreaterThan(MemoryEstimate.bytes(plan, 0));
  }
}
