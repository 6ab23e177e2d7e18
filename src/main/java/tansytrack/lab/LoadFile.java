package tansytrack.lab;

import java.util.List;
import tansytrack.lab.load.ArrivalSchedule;
import tansytrack.lab.load.RateShape;
import tansytrack.lab.load.RetryBehaviour;
import tansytrack.lab.load.TaskMix;
import tansytrack.lab.proto.Clients;
import tansytrack.lab.proto.Load;
import tansytrack.lab.proto.LoadGrade;
import tansytrack.lab.proto.Part;
import tansytrack.settings.InvalidInputException;

/** A validated load definition. */
final class LoadFile {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final double MAX_RATE_PER_SECOND = 100_000;

  final Load definition;
  private final String file;

  private LoadFile(String file, Load load) {
    this.file = file;
    this.definition = load;
  }

  /** Reads a file in protobuf text format. */
  static LoadFile read(String file) {
    return parse(file, LabInput.read(file));
  }

  /** Parses a text; the file's name stands in error messages. */
  static LoadFile parse(String file, String text) {
    LoadFile read = new LoadFile(file, LabInput.parse(file, text, Load.newBuilder()).build());
    read.validate();
    return read;
  }

  /** A load that is part of another file. */
  static LoadFile validated(String file, Load load) {
    LoadFile read = new LoadFile(file, load);
    read.validate();
    return read;
  }

  private void validate() {
    requireRange("seconds", definition.getSeconds(), 1, 86_400);
    requireRange("sum: number of parts", definition.getSumCount(), 1, 100);
    requireRange("tenants: number", definition.getTenantsCount(), 1, 100_000);
    requireRange("grades: number", definition.getGradesCount(), 1, 100);
    requireRange("data_sets", definition.getDataSets(), 1, 1_000_000);
    requireRange("clients.most_connections", definition.getClients().getMostConnections(), 1, 4096);
    requireRange("clients.most_retries", definition.getClients().getMostRetries(), 0, 1000);
    requireRange("late_ms", definition.getLateMs(), 1, 10_000);
    requireRange("late_part", definition.getLatePart(), 0, 1);
    for (LoadGrade queryClass : definition.getGradesList()) {
      requireRange(
          "grades." + queryClass.getName() + ".median_cost_ms",
          queryClass.getMedianCostMs(),
          0.001,
          1e9);
      requireRange("grades." + queryClass.getName() + ".spread", queryClass.getSpread(), 0, 5);
      requireRange(
          "grades." + queryClass.getName() + ".wait_ms", queryClass.getWaitMs(), 1, 600_000);
      requireRange(
          "grades." + queryClass.getName() + ".promised_ms",
          queryClass.getPromisedMs(),
          1,
          queryClass.getWaitMs());
    }
    requireRange("sum: highest rate", shape().maxRate(), 0, MAX_RATE_PER_SECOND);
  }

  private void requireRange(String field, double value, double min, double max) {
    LabInput.requireRange(file, field, value, min, max);
  }

  private RateShape shape() {
    RateShape product =
        new RateShape.Sum(definition.getSumList().stream().map(this::part).toList());
    for (Part factor : definition.getTimesList()) {
      product = new RateShape.Product(product, part(factor));
    }
    return product;
  }

  private RateShape part(Part part) {
    return switch (part.getShapeCase()) {
      case CONSTANT -> new RateShape.Constant(part.getConstant());
      case RAMP ->
          new RateShape.Ramp(
              part.getRamp().getFrom(),
              part.getRamp().getTo(),
              part.getRamp().getBeginsMs() * NANOS_PER_MS,
              part.getRamp().getEndsMs() * NANOS_PER_MS);
      case STEPS -> {
        requireRange("steps.rates: number", part.getSteps().getRatesCount(), 1, 10_000);
        requireRange("steps.each_ms", (double) part.getSteps().getEachMs(), 1, 86_400_000);
        yield new RateShape.Steps(
            List.copyOf(part.getSteps().getRatesList()),
            part.getSteps().getEachMs() * NANOS_PER_MS);
      }
      case BURSTS -> {
        requireRange("bursts.every_ms", (double) part.getBursts().getEveryMs(), 1, 86_400_000);
        yield new RateShape.Bursts(
            part.getBursts().getRate(),
            part.getBursts().getEveryMs() * NANOS_PER_MS,
            part.getBursts().getLastsMs() * NANOS_PER_MS,
            part.getBursts().getFirstMs() * NANOS_PER_MS);
      }
      case WAVE -> {
        requireRange("wave.day_ms", (double) part.getWave().getDayMs(), 1, 86_400_000);
        yield new RateShape.Wave(
            part.getWave().getLeast(),
            part.getWave().getMost(),
            part.getWave().getDayMs() * NANOS_PER_MS);
      }
      case FESTIVAL -> festival(part);
      default ->
          throw new InvalidInputException(
              file
                  + ": a part of the rate has no shape; allowed: constant, ramp, steps, bursts,"
                  + " wave, festival");
    };
  }

  private RateShape festival(Part part) {
    requireRange("festival.halves_ms", (double) part.getFestival().getHalvesMs(), 1, 86_400_000);
    requireRange(
        "festival.fullest_ms",
        (double) part.getFestival().getFullestMs(),
        (double) (part.getFestival().getOpensMs() + 1),
        86_400_000);
    return new RateShape.Festival(
        part.getFestival().getCalm(),
        part.getFestival().getPeak(),
        part.getFestival().getOpensMs() * NANOS_PER_MS,
        part.getFestival().getFullestMs() * NANOS_PER_MS,
        part.getFestival().getHalvesMs() * NANOS_PER_MS);
  }

  /** The arrivals of the load for a seed. */
  ArrivalSchedule schedule(long seed) {
    TaskMix mix =
        new TaskMix(
            definition.getTenantsList().stream()
                .map(item -> new TaskMix.Weighted(item.getName(), item.getWeight()))
                .toList(),
            definition.getGradesList().stream()
                .map(
                    item ->
                        new TaskMix.ClassLoad(
                            item.getName(),
                            item.getWeight(),
                            item.getMedianCostMs(),
                            item.getSpread(),
                            item.getMemoryMb(),
                            item.getKeys()))
                .toList(),
            definition.getDataSets(),
            definition.getZipfExponent(),
            definition.getHotMovesEveryMs() * NANOS_PER_MS);
    return new ArrivalSchedule(
        shape(),
        mix,
        definition.getSeconds() * RateShape.NANOS_PER_SECOND,
        definition.getEven(),
        seed);
  }

  /** The query class of that name, which must exist. */
  LoadGrade queryClass(String name) {
    return definition.getGradesList().stream()
        .filter(item -> item.getName().equals(name))
        .findFirst()
        .orElseThrow();
  }

  /** How clients retry tasks of a query class. */
  RetryBehaviour retryBehaviour(LoadGrade queryClass) {
    Clients clients = definition.getClients();
    return new RetryBehaviour(
        queryClass.getWaitMs() * NANOS_PER_MS,
        clients.getMostRetries(),
        clients.getHeedsAfter(),
        Math.max(1, clients.getFirstPauseMs()) * NANOS_PER_MS,
        Math.max(1, clients.getPauseGrows()),
        clients.getPauseJitter());
  }
}
