package tansytrack.lab.footprint;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs one measurement, from the start of the first process to the exit of the last one. */
final class FootprintRun implements AutoCloseable {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long START_TIMEOUT_NANOS = 60 * NANOS_PER_SECOND;
  private static final long CHANGE_TIMEOUT_NANOS = 30 * NANOS_PER_SECOND;
  private static final long SHUTDOWN_TIMEOUT_NANOS = 6 * NANOS_PER_SECOND;

  private final FootprintOptions options;
  private final StubEngines engines = new StubEngines();
  private final EngineListEvents events = new EngineListEvents();
  private final SyntheticEngineList list;
  private final List<MeasuredManager> managers = new ArrayList<>();

  FootprintRun(FootprintOptions options, Path folder) throws IOException {
    this.options = options;
    list = new SyntheticEngineList(options.engines(), engines.addresses());
    events.publish(list.completeList());
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
  FootprintResult measure() throws IOException, InterruptedException {
    List<Long> startTimes = startAll();
    Thread.sleep(options.settleSeconds() * 1000L);
    List<ManagerReading> settledReadings = takeReadings();
    long probeBytesIn = engines.probeBytesIn();
    long probeBytesOut = engines.probeBytesOut();
    Thread.sleep(options.seconds() * 1000L);
    List<ManagerReading> idleReadings = takeReadings();
    double probeRequestRate = (engines.probeBytesIn() - probeBytesIn) / (double) options.seconds();
    double probeResponseRate =
        (engines.probeBytesOut() - probeBytesOut) / (double) options.seconds();
    int connections = engines.connections();
    List<LightLoad> loads = runLoad();
    List<ManagerReading> loadedReadings = takeReadings();
    List<Long> changeTimes = publish(list.change(0, "draining"));
    List<Long> listTimes = publish(list.completeList());
    List<ManagerReading> finalReadings = takeReadings();
    stopAll();
    List<ManagerFootprint> footprints = new ArrayList<>();
    for (int i = 0; i < managers.size(); i++) {
      ManagerReading settledReading = settledReadings.get(i);
      ManagerReading idleReading = idleReadings.get(i);
      boolean hasLoad = !loads.isEmpty();
      footprints.add(
          new ManagerFootprint(
              startTimes.get(i),
              idleReading.process().residentKb(),
              finalReadings.get(i).process().peakResidentKb(),
              idleReading.coreShareSince(settledReading),
              idleReading.bytesUpPerSecondSince(settledReading),
              idleReading.bytesDownPerSecondSince(settledReading),
              hasLoad ? loadedReadings.get(i).coreShareSince(idleReading) : Double.NaN,
              hasLoad ? loads.get(i).handled() : 0,
              hasLoad ? loads.get(i).notHandled() : 0,
              changeTimes.get(i),
              listTimes.get(i),
              settledReading.bytesDown()));
    }
    return new FootprintResult(
        footprints,
        new EngineTraffic(engines.probes(), probeRequestRate, probeResponseRate, connections),
        list.completeList().getBytes(StandardCharsets.UTF_8).length);
  }

  private List<Long> startAll() throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + START_TIMEOUT_NANOS;
    for (MeasuredManager manager : managers) {
      manager.launch();
    }
    List<Long> times = new ArrayList<>();
    for (MeasuredManager manager : managers) {
      times.add(manager.awaitFirstAnswer(deadlineNanos));
    }
    return times;
  }

  private List<ManagerReading> takeReadings() throws IOException {
    List<ManagerReading> readings = new ArrayList<>();
    for (MeasuredManager manager : managers) {
      readings.add(ManagerReading.take(manager));
    }
    return readings;
  }

  private List<LightLoad> runLoad() throws InterruptedException {
    List<LightLoad> loads = new ArrayList<>();
    if (options.rate() == 0) {
      return loads;
    }
    long endNanos = System.nanoTime() + options.seconds() * NANOS_PER_SECOND;
    for (MeasuredManager manager : managers) {
      LightLoad load = new LightLoad(manager.address(), options.rate(), endNanos);
      loads.add(load);
      load.start();
    }
    for (LightLoad load : loads) {
      load.awaitEnd();
    }
    return loads;
  }

  /**
   * Publishes an event. Returns for each manager the time in nanoseconds until it acknowledged the
   * event, or -1 if it did not in time.
   */
  private List<Long> publish(String nodes) throws InterruptedException {
    long publishedAtNanos = System.nanoTime();
    int number = events.publish(nodes);
    List<Long> times = new ArrayList<>();
    for (MeasuredManager manager : managers) {
      long receivedAtNanos =
          manager.channel().awaitEvent(number, publishedAtNanos + CHANGE_TIMEOUT_NANOS);
      times.add(receivedAtNanos < 0 ? -1 : receivedAtNanos - publishedAtNanos);
    }
    return times;
  }

  private void stopAll() throws InterruptedException {
    managers.forEach(MeasuredManager::terminate);
    long deadlineNanos = System.nanoTime() + SHUTDOWN_TIMEOUT_NANOS;
    for (MeasuredManager manager : managers) {
      manager.awaitExitOrKill(deadlineNanos);
    }
  }

  /** Whether any process that this run started is still alive. */
  boolean anyAlive() {
    return managers.stream().anyMatch(MeasuredManager::isAlive);
  }

  @Override
  public void close() throws IOException {
    for (MeasuredManager manager : managers) {
      manager.close();
    }
    engines.close();
  }
}
