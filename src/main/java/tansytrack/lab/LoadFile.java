package tansytrack.lab;

import java.util.List;
import tansytrack.lab.load.Behaviour;
import tansytrack.lab.load.Mix;
import tansytrack.lab.load.Schedule;
import tansytrack.lab.load.Shape;
import tansytrack.lab.proto.Clients;
import tansytrack.lab.proto.Load;
import tansytrack.lab.proto.LoadGrade;
import tansytrack.lab.proto.Part;
import tansytrack.settings.InvalidInputException;

/** A validated load definition. */
final class LoadFile {

  private static final long MS = 1_000_000L;
  private static final double MOST_RATE = 100_000;

  final Load load;
  private final String file;

  private LoadFile(String file, Load load) {
    this.file = file;
    this.load = load;
  }

  /** Reads a file in protobuf text format. */
  static LoadFile read(String file) {
    return of(file, TextFile.text(file));
  }

  /** Parses a text; the file's name stands in error messages. */
  static LoadFile of(String file, String text) {
    LoadFile read = new LoadFile(file, TextFile.parsed(file, text, Load.newBuilder()).build());
    read.check();
    return read;
  }

  /** A load that is part of another file. */
  static LoadFile checked(String file, Load load) {
    LoadFile read = new LoadFile(file, load);
    read.check();
    return read;
  }

  private void check() {
    bounded("seconds", load.getSeconds(), 1, 86_400);
    bounded("sum: number of parts", load.getSumCount(), 1, 100);
    bounded("tenants: number", load.getTenantsCount(), 1, 100_000);
    bounded("grades: number", load.getGradesCount(), 1, 100);
    bounded("data_sets", load.getDataSets(), 1, 1_000_000);
    bounded("clients.most_connections", load.getClients().getMostConnections(), 1, 4096);
    bounded("clients.most_retries", load.getClients().getMostRetries(), 0, 1000);
    bounded("late_ms", load.getLateMs(), 1, 10_000);
    bounded("late_part", load.getLatePart(), 0, 1);
    for (LoadGrade queryClass : load.getGradesList()) {
      bounded("grades." + queryClass.getName() + ".median_cost_ms", queryClass.getMedianCostMs(), 0.001, 1e9);
      bounded("grades." + queryClass.getName() + ".spread", queryClass.getSpread(), 0, 5);
      bounded("grades." + queryClass.getName() + ".wait_ms", queryClass.getWaitMs(), 1, 600_000);
      bounded(
          "grades." + queryClass.getName() + ".promised_ms",
          queryClass.getPromisedMs(),
          1,
          queryClass.getWaitMs());
    }
    bounded("sum: highest rate", shape().most(), 0, MOST_RATE);
  }

  private void bounded(String field, double value, double min, double max) {
    TextFile.bounded(file, field, value, min, max);
  }

  private Shape shape() {
    Shape product = new Shape.Sum(load.getSumList().stream().map(this::part).toList());
    for (Part factor : load.getTimesList()) {
      product = new Shape.Product(product, part(factor));
    }
    return product;
  }

  private Shape part(Part part) {
    return switch (part.getShapeCase()) {
      case CONSTANT -> new Shape.Constant(part.getConstant());
      case RAMP ->
          new Shape.Ramp(
              part.getRamp().getFrom(),
              part.getRamp().getTo(),
              part.getRamp().getBeginsMs() * MS,
              part.getRamp().getEndsMs() * MS);
      case STEPS -> {
        bounded("steps.rates: number", part.getSteps().getRatesCount(), 1, 10_000);
        bounded("steps.each_ms", (double) part.getSteps().getEachMs(), 1, 86_400_000);
        yield new Shape.Steps(
            List.copyOf(part.getSteps().getRatesList()), part.getSteps().getEachMs() * MS);
      }
      case BURSTS -> {
        bounded("bursts.every_ms", (double) part.getBursts().getEveryMs(), 1, 86_400_000);
        yield new Shape.Bursts(
            part.getBursts().getRate(),
            part.getBursts().getEveryMs() * MS,
            part.getBursts().getLastsMs() * MS,
            part.getBursts().getFirstMs() * MS);
      }
      case WAVE -> {
        bounded("wave.day_ms", (double) part.getWave().getDayMs(), 1, 86_400_000);
        yield new Shape.Wave(
            part.getWave().getLeast(), part.getWave().getMost(), part.getWave().getDayMs() * MS);
      }
      case FESTIVAL -> {
        bounded("festival.halves_ms", (double) part.getFestival().getHalvesMs(), 1, 86_400_000);
        bounded(
            "festival.fullest_ms",
            (double) part.getFestival().getFullestMs(),
            (double) (part.getFestival().getOpensMs() + 1),
            86_400_000);
        yield new Shape.Festival(
            part.getFestival().getCalm(),
            part.getFestival().getPeak(),
            part.getFestival().getOpensMs() * MS,
            part.getFestival().getFullestMs() * MS,
            part.getFestival().getHalvesMs() * MS);
      }
      default ->
          throw new InvalidInputException(
              file
                  + ": a part of the rate has no shape; allowed: constant, ramp, steps, bursts,"
                  + " wave, festival");
    };
  }

  /** The arrivals of the load for a seed. */
  Schedule schedule(long seed) {
    Mix mix =
        new Mix(
            load.getTenantsList().stream()
                .map(item -> new Mix.Weighted(item.getName(), item.getWeight()))
                .toList(),
            load.getGradesList().stream()
                .map(
                    item ->
                        new Mix.GradeLoad(
                            item.getName(),
                            item.getWeight(),
                            item.getMedianCostMs(),
                            item.getSpread(),
                            item.getMemoryMb(),
                            item.getKeys()))
                .toList(),
            load.getDataSets(),
            load.getZipfExponent(),
            load.getHotMovesEveryMs() * MS);
    return new Schedule(shape(), mix, load.getSeconds() * Shape.SECOND, load.getEven(), seed);
  }

  /** The query class of that name, which must exist. */
  LoadGrade grade(String name) {
    return load.getGradesList().stream()
        .filter(item -> item.getName().equals(name))
        .findFirst()
        .orElseThrow();
  }

  /** How clients retry tasks of a query class. */
  Behaviour behaviour(LoadGrade queryClass) {
    Clients clients = load.getClients();
    return new Behaviour(
        queryClass.getWaitMs() * MS,
        clients.getMostRetries(),
        clients.getHeedsAfter(),
        Math.max(1, clients.getFirstPauseMs()) * MS,
        Math.max(1, clients.getPauseGrows()),
        clients.getPauseJitter());
  }
}
