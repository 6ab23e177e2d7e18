package tansytrack.lab.footprint;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs one measurement, from the start of the first process to the exit of the last one. */
final class FootprintRun implements AutoCloseable {

  private static final long SECOND = 1_000_000_000L;
  private static final long START_PATIENCE = 60 * SECOND;
  private static final long CHANGE_PATIENCE = 30 * SECOND;
  private static final long END_PATIENCE = 6 * SECOND;

  private final FootprintOptions options;
  private final InstantEngines engines = new InstantEngines();
  private final ListEvents events = new ListEvents();
  private final EngineList list;
  private final List<MeasuredManager> managers = new ArrayList<>();

  FootprintRun(FootprintOptions options, Path folder) throws IOException {
    this.options = options;
    list = new EngineList(options.engines(), engines.addresses());
    events.tell(list.whole());
    try {
      for (int number = 0; number < options.managers(); number++) {
        managers.add(new MeasuredManager(number, folder, options, events));
      }
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  /** Starts the managers, measures them idle and under load, and stops them. */
  FootprintResult play() throws IOException, InterruptedException {
    List<Long> startTimes = startAll();
    Thread.sleep(options.settleSeconds() * 1000L);
    List<Readings> settled = readings();
    long probeBytesIn = engines.probeBytesIn();
    long probeBytesOut = engines.probeBytesOut();
    Thread.sleep(options.seconds() * 1000L);
    List<Readings> rested = readings();
    double probesUp = (engines.probeBytesIn() - probeBytesIn) / (double) options.seconds();
    double probesDown = (engines.probeBytesOut() - probeBytesOut) / (double) options.seconds();
    int connections = engines.connections();
    List<LightLoad> loads = loadAll();
    List<Readings> loaded = readings();
    List<Long> changeTimes = tell(list.change(0, "draining"));
    List<Long> listTimes = tell(list.whole());
    List<Readings> last = readings();
    endAll();
    List<ManagerFootprint> all = new ArrayList<>();
    for (int i = 0; i < managers.size(); i++) {
      Readings before = settled.get(i);
      Readings rest = rested.get(i);
      boolean hasLoad = !loads.isEmpty();
      all.add(
          new ManagerFootprint(
              startTimes.get(i),
              rest.process().residentKb(),
              last.get(i).process().mostResidentKb(),
              rest.coreShareSince(before),
              rest.bytesUpASecondSince(before),
              rest.bytesDownASecondSince(before),
              hasLoad ? loaded.get(i).coreShareSince(rest) : Double.NaN,
              hasLoad ? loads.get(i).handled() : 0,
              hasLoad ? loads.get(i).others() : 0,
              changeTimes.get(i),
              listTimes.get(i),
              before.bytesDown()));
    }
    return new FootprintResult(
        all,
        new EngineCalls(engines.probes(), probesUp, probesDown, connections),
        list.whole().getBytes(StandardCharsets.UTF_8).length);
  }

  private List<Long> startAll() throws IOException, InterruptedException {
    long until = System.nanoTime() + START_PATIENCE;
    for (MeasuredManager manager : managers) {
      manager.launch();
    }
    List<Long> times = new ArrayList<>();
    for (MeasuredManager manager : managers) {
      times.add(manager.awaitService(until));
    }
    return times;
  }

  private List<Readings> readings() throws IOException {
    List<Readings> all = new ArrayList<>();
    for (MeasuredManager manager : managers) {
      all.add(Readings.of(manager));
    }
    return all;
  }

  private List<LightLoad> loadAll() throws InterruptedException {
    List<LightLoad> loads = new ArrayList<>();
    if (options.rate() == 0) {
      return loads;
    }
    long until = System.nanoTime() + options.seconds() * SECOND;
    for (MeasuredManager manager : managers) {
      LightLoad load = new LightLoad(manager.address(), options.rate(), until);
      loads.add(load);
      load.start();
    }
    for (LightLoad load : loads) {
      load.end();
    }
    return loads;
  }

  /**
   * Publishes an event. Returns for each manager the time in nanoseconds until it acknowledged the
   * event, or -1 if it did not in time.
   */
  private List<Long> tell(String nodes) throws InterruptedException {
    long from = System.nanoTime();
    int number = events.tell(nodes);
    List<Long> times = new ArrayList<>();
    for (MeasuredManager manager : managers) {
      long at = manager.channel().awaitEvent(number, from + CHANGE_PATIENCE);
      times.add(at < 0 ? -1 : at - from);
    }
    return times;
  }

  private void endAll() throws InterruptedException {
    managers.forEach(MeasuredManager::terminate);
    long until = System.nanoTime() + END_PATIENCE;
    for (MeasuredManager manager : managers) {
      manager.end(until);
    }
  }

  /** Whether any process that this run started is still alive. */
  boolean anyAlive() {
    return managers.stream().anyMatch(MeasuredManager::alive);
  }

  @Override
  public void close() throws IOException {
    for (MeasuredManager manager : managers) {
      manager.close();
    }
    engines.close();
  }
}
