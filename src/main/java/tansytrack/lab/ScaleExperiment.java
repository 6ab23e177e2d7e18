package tansytrack.lab;

import java.util.Map;
import java.util.TreeMap;
import tansytrack.lab.proto.Experiment;
import tansytrack.lab.proto.ScalePart;
import tansytrack.lab.scale.FailureSchedule;
import tansytrack.lab.scale.ModuleFactory;
import tansytrack.lab.scale.ScalePlan;
import tansytrack.lab.scale.ScaleResult;
import tansytrack.lab.scale.ScaleSimulation;
import tansytrack.lab.scale.Workers;
import tansytrack.settings.InvalidInputException;

/** One run of an experiment on hollow managers: its parts one after the other. */
final class ScaleExperiment {

  private final Experiment experiment;
  private final long seed;
  private final ModuleFactory factory;

  ScaleExperiment(Experiment experiment, long seed, ModuleFactory factory) {
    this.experiment = experiment;
    this.seed = seed;
    this.factory = factory;
  }

  /** Says what in the file cannot be used. */
  static void checked(String file, Experiment read) {
    TextFile.bounded(file, "runs", read.getRuns(), 1, 1000);
    for (ScalePart part : read.getScaleList()) {
      if (part.getName().isEmpty()) {
        throw new InvalidInputException(file + ": scale.name: ''; allowed: a name");
      }
      TextFile.bounded(file, "scale.managers", part.getManagers(), 1, Integer.MAX_VALUE);
      TextFile.bounded(file, "scale.engines", part.getEngines(), 1, Integer.MAX_VALUE);
      TextFile.bounded(file, "scale.zones", part.getZones(), 1, part.getEngines());
      TextFile.bounded(file, "scale.seconds", part.getSeconds(), 1, 3600);
      TextFile.bounded(file, "scale.rate", part.getRate(), 0.01, 10_000);
      ScaleTable.schedule(file + ": scale.schedule", scheduleName(part));
      ScaleTable.checked(plan(part, 0));
    }
    if (read.getClaimsCount() == 0) {
      throw new InvalidInputException(file + ": claims: missing; allowed: one and more");
    }
  }

  private static String scheduleName(ScalePart part) {
    return part.getSchedule().isEmpty()
        ? FailureSchedule.NO_FAILURE.scheduleName()
        : part.getSchedule();
  }

  private static ScalePlan plan(ScalePart part, long seed) {
    return new ScalePlan(
        part.getManagers(),
        part.getEngines(),
        part.getZones(),
        part.getSeconds(),
        part.getRate(),
        ScaleTable.schedule("scale.schedule", scheduleName(part)),
        seed);
  }

  /** Plays its parts, and gives their figures. */
  Map<String, Double> play() {
    for (ScalePart part : experiment.getScaleList()) {
      ScaleMemory.checked(
          plan(part, seed),
          factory,
          ScaleMemory.limit(),
          (double) Runtime.getRuntime().maxMemory());
    }
    Map<String, Double> figures = new TreeMap<>();
    for (ScalePart part : experiment.getScaleList()) {
      ScaleSimulation world = new ScaleSimulation(plan(part, seed), factory, Workers.SEQUENTIAL);
      world.run(new ProgressLine(part.getName(), System.err));
      ScaleResult.of(world)
          .figures()
          .forEach((name, figure) -> figures.put(part.getName() + '.' + name, figure));
    }
    return figures;
  }
}
