package tansytrack.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import tansytrack.lab.load.Arrival;
import tansytrack.lab.proto.EngineForm;
import tansytrack.lab.proto.EngineTrouble;
import tansytrack.lab.proto.FleetPlan;
import tansytrack.lab.simulation.EngineModel;
import tansytrack.lab.simulation.FaultSchedule;
import tansytrack.lab.simulation.InvariantChecker;

/**
 * The environment of a fleet of manager processes: fake engines in zones, a command channel for
 * each manager, relays for the connections, and an open-loop load on each manager. Logs what
 * clients, engines and command channels observe, for the {@link InvariantChecker}.
 */
final class FleetTraffic implements AutoCloseable {

  private static final long NANOS_PER_MS = 1_000_000L;

  // The time that a manager may take from SIGTERM to its exit. It closes its connections within it.
  private static final long SHUTDOWN_NANOS = 4000 * NANOS_PER_MS;

  // The name of the command channel in faults.
  private static final String CHANNEL = "list";

  // The grace time of a drain in the settings, and the tolerance of the protocol.
  private static final long DRAIN_GRACE_NANOS = 1050 * NANOS_PER_MS;

  // When a manager counts as told of a change at the latest.
  private static final long MAX_TELLING_DELAY_NANOS = 7000 * NANOS_PER_MS;

  // The time between the end of a replaced engine's process and the start of the next one.
  private static final long REPLACEMENT_DELAY_NANOS = 200 * NANOS_PER_MS;

  private final FleetPlan plan;
  private final FaultSchedule faults;
  private final List<String> managers;
  private final List<String> zones;
  private final long seed;
  private final List<FakeEngine> engines = new ArrayList<>();
  private final List<InetSocketAddress> engineAddresses = new ArrayList<>();
  private final List<FakeCommandChannel> channels = new ArrayList<>();
  private final List<StreamRelay> channelRelays = new ArrayList<>();

  // By manager, then by engine.
  private final List<List<StreamRelay>> engineRelays = new ArrayList<>();

  private final List<InvariantChecker.Event> events =
      Collections.synchronizedList(new ArrayList<>());
  private final Map<String, Arrival> arrivals = new ConcurrentHashMap<>();

  // The manager that each task was sent to.
  private final Map<String, String> managerOfTask = new ConcurrentHashMap<>();

  // Start time of each restarted engine, by System.nanoTime().
  private final Map<Integer, Long> engineStartNanos = new HashMap<>();

  // The same as the command channel tells it, as a Unix time in milliseconds.
  private final Map<Integer, Long> engineStartUnixMs = new HashMap<>();

  private final List<OpenLoopGenerator> loads = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private int revision = 1;
  // The number of crashes; those of the present engines are added at the end.
  private int crashCount;
  private volatile long startNanos = System.nanoTime();
  private volatile Exception failure;

  FleetTraffic(
      FleetPlan plan, FaultSchedule faults, List<String> managers, List<String> zones, long seed)
      throws IOException {
    this.plan = plan;
    this.faults = faults;
    this.managers = managers;
    this.zones = zones;
    this.seed = seed;
    for (int i = 0; i < plan.getEngines(); i++) {
      engines.add(
          createEngine(i, new InetSocketAddress("127.22.0." + (i + 1), 0), warmStartNanos()));
      String[] hostAndPort = engines.get(i).address().split(":");
      engineAddresses.add(new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])));
    }
    for (int manager = 0; manager < managers.size(); manager++) {
      int managerIndex = manager;
      FakeCommandChannel channel =
          new FakeCommandChannel(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      channels.add(channel);
      channelRelays.add(
          new StreamRelay(
              "127.0.0.1",
              address(channel.address()),
              // The command channel is in no zone.
              () -> activeFault(managerIndex, CHANNEL, CHANNEL),
              seed ^ manager));
      List<StreamRelay> relaysOfManager = new ArrayList<>();
      for (int i = 0; i < engines.size(); i++) {
        int engineIndex = i;
        relaysOfManager.add(
            new StreamRelay(
                "127.23." + manager + '.' + (i + 1),
                engineAddresses.get(i),
                () -> activeFault(managerIndex, "e" + engineIndex, engineZone(engineIndex)),
                seed * 4096 + manager * 64L + i));
      }
      engineRelays.add(relaysOfManager);
    }
    for (int i = 0; i < engines.size(); i++) {
      announce(i, "ready");
    }
  }

  /** Returns a start time that lies far enough back for an engine to be warm. */
  private long warmStartNanos() {
    return System.nanoTime()
        - 1000L * Math.max(1, plan.getEngine().getWarmAfterMs()) * NANOS_PER_MS;
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  private String engineZone(int engine) {
    return "place-" + engine % plan.getPlaces();
  }

  private FaultSchedule.StreamFault activeFault(int manager, String target, String zone) {
    return faults.activeStreamFault(
        System.nanoTime() - startNanos, managers.get(manager), zones.get(manager), target, zone);
  }

  private FakeEngine createEngine(int index, InetSocketAddress address, long engineStartedAtNanos)
      throws IOException {
    EngineForm form = plan.getEngine();
    EngineModel.Spec spec =
        new EngineModel.Spec(
            form.getCores(),
            form.getMostQueries(),
            form.getStartCapacity(),
            form.getWarmAfterMs() * NANOS_PER_MS,
            form.getMultiple(),
            form.getWindowMs() * NANOS_PER_MS);
    return new FakeEngine(
        "e" + index,
        address,
        new EngineModel(spec, engineStartedAtNanos),
        id -> arrivals.containsKey(id) ? arrivals.get(id).costMs() * NANOS_PER_MS : NANOS_PER_MS,
        new FakeEngine.Listener() {
          @Override
          public void forwardArrived(String engine, String id, double work) {
            events.add(
                new InvariantChecker.ForwardArrived(
                    System.nanoTime(), managerOfTask.getOrDefault(id, "?"), engine, id, work));
          }

          @Override
          public void forwardEnded(String engine, String id, boolean mayHaveRun) {
            events.add(
                new InvariantChecker.ForwardEnded(System.nanoTime(), engine, id, mayHaveRun));
          }
        },
        plan.getAnswers());
  }

  /** Announces an engine to all managers, to each by the address of its own relay. */
  private synchronized void announce(int engine, String phase) {
    long startedNanos = engineStartNanos.getOrDefault(engine, 0L);
    long startedUnixMs = engineStartUnixMs.getOrDefault(engine, 0L);
    events.add(
        new InvariantChecker.EngineListed(
            System.nanoTime(),
            "e" + engine,
            engineZone(engine),
            phase.equals("ready"),
            startedNanos));
    revision++;
    for (int manager = 0; manager < managers.size(); manager++) {
      channels
          .get(manager)
          .publish(
              "{\"revision\":"
                  + revision
                  + ",\"complete\":false,\"members\":[{\"id\":\"e"
                  + engine
                  + "\",\"host_port\":\""
                  + engineRelays.get(manager).get(engine).address()
                  + "\",\"locality\":\""
                  + engineZone(engine)
                  + "\",\"flavor\":\"k\",\"cell\":0,\"phase\":\""
                  + phase
                  + "\",\"size\":8,\"up_since_ms\":"
                  + startedUnixMs
                  + "}]}");
    }
  }

  /** Returns the address of a manager's command channel. */
  String channelAddress(int manager) {
    return channelRelays.get(manager).address();
  }

  /** Returns the events of a manager's command channel up to now, as JSON. */
  String knownEvents(int manager) {
    return channels.get(manager).knownEvents();
  }

  /**
   * Starts the load and the injection of engine faults.
   *
   * @param listeners the managers' client addresses
   * @param scheduleStartNanos start of the fault schedule, by System.nanoTime()
   */
  void start(List<InetSocketAddress> listeners, long scheduleStartNanos) {
    this.startNanos = scheduleStartNanos;
    for (int manager = 0; plan.hasLoad() && manager < managers.size(); manager++) {
      String name = managers.get(manager);
      LoadFile file = LoadFile.validated("fleet.load", plan.getLoad());
      OpenLoopGenerator load =
          new OpenLoopGenerator(file, listeners.get(manager), seed * 64 + manager, listener(name));
      loads.add(load);
      run(load::run);
    }
    for (EngineTrouble fault : plan.getEngineTroublesList()) {
      run(() -> inject(fault, scheduleStartNanos));
    }
  }

  /** Logs the tasks and answers of a manager's clients. */
  private OpenLoopGenerator.Listener listener(String name) {
    return new OpenLoopGenerator.Listener() {
      @Override
      public void taskSubmitted(String id, Arrival arrival, long timeoutMs) {
        arrivals.put(id, arrival);
        managerOfTask.put(id, name);
        long now = System.nanoTime();
        events.add(
            new InvariantChecker.TaskSubmitted(
                now,
                name,
                id,
                // The query class "load" stands for bulk loads.
                arrival.queryClass().equals("load")
                    ? InvariantChecker.RetrySafety.NON_IDEMPOTENT
                    : InvariantChecker.RetrySafety.IDEMPOTENT,
                arrival.key(),
                now + timeoutMs * NANOS_PER_MS,
                Set.of()));
      }

      @Override
      public void taskAnswered(String id, LabClient.Answer answer) {
        events.add(
            new InvariantChecker.TaskAnswered(
                System.nanoTime(),
                id,
                answer.handled()
                    ? InvariantChecker.TaskResult.HANDLED
                    : answer.code().startsWith("53") || answer.code().equals("57P03")
                        ? InvariantChecker.TaskResult.REJECTED
                        : InvariantChecker.TaskResult.ABORTED));
      }

      @Override
      public void taskAbandoned(String id) {
        events.add(new InvariantChecker.TaskAbandoned(System.nanoTime(), id));
      }

      @Override
      public void taskFailed(String id, long connectedAt) {
        // A task is abandoned only if its manager was killed or terminated; if the connection was
        // never established, the manager did not accept the task.
        if (connectedAt >= 0 && wasKilledOrTerminatedSince(name, connectedAt)) {
          events.add(new InvariantChecker.TaskAbandoned(System.nanoTime(), id));
        }
      }
    };
  }

  /**
   * Returns whether a manager was killed or terminated, rather than paused, since the given time. A
   * manager that is terminated closes its connections for some time, in which tasks may still be on
   * their way to it.
   */
  private boolean wasKilledOrTerminatedSince(String manager, long sinceNanos) {
    return faults.processes().stream()
        .anyMatch(
            fault ->
                fault.member().equals(manager)
                    && fault.kind() != FaultSchedule.ProcessFaultKind.STOP
                    && startNanos
                            + fault.startNanos()
                            + (fault.kind() == FaultSchedule.ProcessFaultKind.END
                                ? SHUTDOWN_NANOS
                                : 0)
                        >= sinceNanos
                    && startNanos + fault.startNanos() <= System.nanoTime());
  }

  /** Logs that a manager was started again. */
  void managerRestarted(String name) {
    events.add(new InvariantChecker.ManagerRestarted(System.nanoTime(), name));
  }

  private interface ThrowingRunnable {
    void run() throws Exception;
  }

  private void run(ThrowingRunnable step) {
    Thread thread =
        FakeEngine.daemonThread(
            () -> {
              try {
                step.run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              } catch (Exception e) {
                failure = e;
              }
            });
    threads.add(thread);
    thread.start();
  }

  private void inject(EngineTrouble fault, long scheduleStartNanos)
      throws IOException, InterruptedException {
    int index = Integer.parseInt(fault.getEngine().substring(1));
    sleepUntil(scheduleStartNanos + fault.getAtMs() * NANOS_PER_MS);
    switch (fault.getKind()) {
      case RESTART -> {
        endProcess(index);
        sleepUntil(scheduleStartNanos + (fault.getAtMs() + fault.getForMs()) * NANOS_PER_MS);
        startProcess(index);
        announce(index, "ready");
      }
      case REPLACE -> {
        announce(index, "draining");
        long goneAt = scheduleStartNanos + (fault.getAtMs() + fault.getForMs()) * NANOS_PER_MS;
        sleepUntil(goneAt);
        announce(index, "gone");
        endProcess(index);
        sleepUntil(goneAt + REPLACEMENT_DELAY_NANOS);
        startProcess(index);
        sleepUntil(goneAt + REPLACEMENT_DELAY_NANOS + fault.getListedAfterMs() * NANOS_PER_MS);
        announce(index, "ready");
      }
      case SLOW -> {
        engines.get(index).slowDown(fault.getFactor());
        sleepUntil(scheduleStartNanos + (fault.getAtMs() + fault.getForMs()) * NANOS_PER_MS);
        engines.get(index).slowDown(1);
      }
      case DRAIN -> {
        announce(index, "draining");
        sleepUntil(scheduleStartNanos + (fault.getAtMs() + fault.getForMs()) * NANOS_PER_MS);
        announce(index, "ready");
      }
      default -> throw new IllegalStateException();
    }
  }

  /** Ends the process of an engine; its queries are lost. */
  private void endProcess(int index) throws IOException {
    FakeEngine previous = replaceEngine(index, null);
    previous.close();
    previous.loseQueries();
    synchronized (this) {
      crashCount += previous.hasCrashed() ? 1 : 0;
    }
  }

  /** Starts an engine again, cold, at the same address. */
  private void startProcess(int index) throws IOException {
    long startedNanos = System.nanoTime();
    synchronized (this) {
      engineStartNanos.put(index, startedNanos);
      engineStartUnixMs.put(index, System.currentTimeMillis() + plan.getChannelClockErrorMs());
    }
    replaceEngine(index, createEngine(index, engineAddresses.get(index), startedNanos));
  }

  /** Returns the engine at an index, and replaces it unless the replacement is null. */
  private synchronized FakeEngine replaceEngine(int index, FakeEngine replacement) {
    FakeEngine previous = engines.get(index);
    if (replacement != null) {
      engines.set(index, replacement);
    }
    return previous;
  }

  /** Sleeps until the given time of System.nanoTime(). */
  static void sleepUntil(long time) throws InterruptedException {
    Thread.sleep(Math.max(0, (time - System.nanoTime()) / NANOS_PER_MS));
  }

  /**
   * Waits for the end of the load and of the fault injections, checks the invariants, and writes
   * the logged events to the file seen.log. Returns the figures of the load and the number of
   * violations of each invariant.
   */
  Map<String, Double> figures(Path folder) throws InterruptedException, IOException {
    for (Thread thread : threads) {
      thread.join();
    }
    if (failure != null) {
      throw new IOException("the load or a fault injection failed: " + failure, failure);
    }
    Map<String, Double> figures = new TreeMap<>();
    double tasks = 0;
    double answeredInTime = 0;
    for (OpenLoopGenerator load : loads) {
      Map<String, Double> loadFigures = load.figures();
      tasks += loadFigures.get("tasks");
      answeredInTime += loadFigures.get("tasks") * loadFigures.get("share");
    }
    EngineForm form = plan.getEngine();
    InvariantChecker.Limits limits =
        new InvariantChecker.Limits(
            /* answerSlackNanos= */ 500 * NANOS_PER_MS,
            /* keyCooldownNanos= */ 60 * NANOS_PER_MS,
            drainGraceNanos(),
            form.getCores(),
            form.getStartCapacity(),
            form.getWarmAfterMs() * NANOS_PER_MS,
            form.getMultiple(),
            form.getWindowMs() * NANOS_PER_MS,
            /* spareAttempts= */ 0,
            /* extraPerRequest= */ 0,
            /* retryBudgetWindowNanos= */ 0);
    List<InvariantChecker.Event> sorted;
    synchronized (events) {
      sorted = new ArrayList<>(events);
    }
    sorted.sort(Comparator.comparingLong(InvariantChecker.Event::at));
    Files.write(
        folder.resolve("seen.log"),
        sorted.stream().map(event -> (event.at() - startNanos) / 1000 + " us " + event).toList());
    InvariantChecker.violations(limits, sorted)
        .forEach((rule, count) -> figures.put("broken." + rule, (double) count));
    InvariantChecker.firstViolations(limits, sorted).forEach(System.err::println);
    InvariantChecker.ColdStartLoad coldStartLoad = InvariantChecker.coldStartLoad(limits, sorted);
    figures.put("cold.load_by_work_max", coldStartLoad.byWork());
    figures.put("cold.load_by_requests_max", coldStartLoad.byRequests());
    figures.put("engines.fallen", (double) countCrashes());
    figures.put("tasks", tasks);
    figures.put("share_min", tasks == 0 ? 1 : answeredInTime / tasks);
    return figures;
  }

  /** Returns the number of engines that have crashed, including the present ones. */
  private int countCrashes() {
    return crashCount + (int) engines.stream().filter(FakeEngine::hasCrashed).count();
  }

  /**
   * The time after the announcement of a drain in which forwards may still arrive. A manager whose
   * connection to the command channel is disturbed counts as told when it is, and at the latest
   * after a fixed time.
   */
  private long drainGraceNanos() {
    boolean channelDisturbed =
        faults.streams().stream()
            .anyMatch(fault -> fault.to().equals(new FaultSchedule.Endpoint(CHANNEL)));
    return DRAIN_GRACE_NANOS + (channelDisturbed ? MAX_TELLING_DELAY_NANOS : 0);
  }

  @Override
  public void close() throws IOException {
    for (FakeEngine engine : engines) {
      engine.close();
    }
    for (List<StreamRelay> relaysOfManager : engineRelays) {
      for (StreamRelay relay : relaysOfManager) {
        relay.close();
      }
    }
    for (StreamRelay relay : channelRelays) {
      relay.close();
    }
    for (FakeCommandChannel channel : channels) {
      channel.close();
    }
  }
}
