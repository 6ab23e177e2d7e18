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
 * The surroundings of a fleet of manager processes: fake engines in zones, a command channel for
 * each manager, relays for the connections, and an open-loop load on each manager. Logs what
 * clients, engines and command channels observe, for the {@link InvariantChecker}.
 */
final class FleetTraffic implements AutoCloseable {

  private static final long MS = 1_000_000L;

  // Time that a manager may take from SIGTERM to its exit, in which it closes connections.
  private static final long ENDING = 4000 * MS;

  private final FleetPlan plan;
  private final FaultSchedule faults;
  private final List<String> managers;
  private final List<String> places;
  private final long seed;
  private final List<StandInEngine> engines = new ArrayList<>();
  private final List<InetSocketAddress> engineAddresses = new ArrayList<>();
  private final List<StandInChannel> channels = new ArrayList<>();
  private final List<StreamRelay> lists = new ArrayList<>();

  // By manager, then by engine.
  private final List<List<StreamRelay>> relays = new ArrayList<>();

  private final List<InvariantChecker.Event> log = Collections.synchronizedList(new ArrayList<>());
  private final Map<String, Arrival> asked = new ConcurrentHashMap<>();

  // The manager that each task was sent to.
  private final Map<String, String> taker = new ConcurrentHashMap<>();

  // Start time of each restarted engine, by System.nanoTime().
  private final Map<Integer, Long> startedAt = new HashMap<>();

  private final List<OpenLoop> loads = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private int revision = 1;
  private int falls;
  private volatile long start = System.nanoTime();
  private volatile Exception failure;

  FleetTraffic(
      FleetPlan plan, FaultSchedule faults, List<String> managers, List<String> zones, long seed)
      throws IOException {
    this.plan = plan;
    this.faults = faults;
    this.managers = managers;
    this.places = zones;
    this.seed = seed;
    for (int i = 0; i < plan.getEngines(); i++) {
      engines.add(engine(i, new InetSocketAddress("127.22.0." + (i + 1), 0), longAgo()));
      String[] hostAndPort = engines.get(i).address().split(":");
      engineAddresses.add(new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])));
    }
    for (int manager = 0; manager < managers.size(); manager++) {
      int managerIndex = manager;
      StandInChannel channel =
          new StandInChannel(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      channels.add(channel);
      lists.add(
          new StreamRelay(
              "127.0.0.1", address(channel.address()), () -> holds(managerIndex, "list", "list"), seed ^ manager));
      List<StreamRelay> relaysOfManager = new ArrayList<>();
      for (int i = 0; i < engines.size(); i++) {
        int engineIndex = i;
        relaysOfManager.add(
            new StreamRelay(
                "127.23." + manager + '.' + (i + 1),
                engineAddresses.get(i),
                () -> holds(managerIndex, "e" + engineIndex, enginePlace(engineIndex)),
                seed * 4096 + manager * 64L + i));
      }
      relays.add(relaysOfManager);
    }
    for (int i = 0; i < engines.size(); i++) {
      told(i, "ready");
    }
  }

  /** A start time that lies far enough back for an engine to be warm. */
  private long longAgo() {
    return System.nanoTime() - 1000L * Math.max(1, plan.getEngine().getWarmAfterMs()) * MS;
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  private String enginePlace(int engine) {
    return "place-" + engine % plan.getPlaces();
  }

  private FaultSchedule.StreamFault holds(int manager, String target, String zone) {
    return faults.activeStreamFault(
        System.nanoTime() - start, managers.get(manager), places.get(manager), target, zone);
  }

  private StandInEngine engine(int index, InetSocketAddress address, long startNanos) throws IOException {
    EngineForm form = plan.getEngine();
    EngineModel.Spec spec =
        new EngineModel.Spec(
            form.getCores(),
            form.getMostQueries(),
            form.getStartCapacity(),
            form.getWarmAfterMs() * MS,
            form.getMultiple(),
            form.getWindowMs() * MS);
    return new StandInEngine(
        "e" + index,
        address,
        new EngineModel(spec, startNanos),
        id -> asked.containsKey(id) ? asked.get(id).costMs() * MS : MS,
        new StandInEngine.Watcher() {
          @Override
          public void arrived(String engine, String id, double work) {
            log.add(
                new InvariantChecker.ForwardArrived(
                    System.nanoTime(), taker.getOrDefault(id, "?"), engine, id, work));
          }

          @Override
          public void over(String engine, String id, boolean mayHaveRun) {
            log.add(new InvariantChecker.ForwardEnded(System.nanoTime(), engine, id, mayHaveRun));
          }
        });
  }

  /** Announces an engine to all managers, to each by the address of its own relay. */
  private synchronized void told(int engine, String phase) {
    long startedNanos = startedAt.getOrDefault(engine, 0L);
    long startedUnixMs = startedNanos == 0 ? 0 : System.currentTimeMillis() - (System.nanoTime() - startedNanos) / MS;
    log.add(
        new InvariantChecker.EngineListed(
            System.nanoTime(), "e" + engine, enginePlace(engine), phase.equals("ready"), startedNanos));
    revision++;
    for (int manager = 0; manager < managers.size(); manager++) {
      channels
          .get(manager)
          .tell(
              "{\"revision\":"
                  + revision
                  + ",\"complete\":false,\"members\":[{\"id\":\"e"
                  + engine
                  + "\",\"host_port\":\""
                  + relays.get(manager).get(engine).address()
                  + "\",\"locality\":\""
                  + enginePlace(engine)
                  + "\",\"flavor\":\"k\",\"cell\":0,\"phase\":\""
                  + phase
                  + "\",\"size\":8,\"up_since_ms\":"
                  + startedUnixMs
                  + "}]}");
    }
  }

  /** The address of a manager's command channel. */
  String channel(int manager) {
    return lists.get(manager).address();
  }

  /** The events of a manager's command channel up to now, as JSON. */
  String known(int manager) {
    return channels.get(manager).known();
  }

  /**
   * Starts the load and the engine faults.
   *
   * @param listeners the managers' client addresses
   * @param startNanos start of the fault schedule, by System.nanoTime()
   */
  void begin(List<InetSocketAddress> listeners, long startNanos) {
    start = startNanos;
    for (int manager = 0; plan.hasLoad() && manager < managers.size(); manager++) {
      String name = managers.get(manager);
      LoadFile file = LoadFile.checked("fleet.load", plan.getLoad());
      OpenLoop load = new OpenLoop(file, listeners.get(manager), seed * 64 + manager, watcher(name));
      loads.add(load);
      run(load::play);
    }
    for (EngineTrouble fault : plan.getEngineTroublesList()) {
      run(() -> trouble(fault, startNanos));
    }
  }

  /** Logs the tasks and answers of a manager's clients. */
  private OpenLoop.Watcher watcher(String name) {
    return new OpenLoop.Watcher() {
      @Override
      public void asking(String id, Arrival arrival, long timeoutMs) {
        asked.put(id, arrival);
        taker.put(id, name);
        long now = System.nanoTime();
        log.add(
            new InvariantChecker.TaskSubmitted(
                now,
                name,
                id,
                arrival.grade().equals("load")
                    ? InvariantChecker.RetrySafety.NON_IDEMPOTENT
                    : InvariantChecker.RetrySafety.IDEMPOTENT,
                arrival.key(),
                now + timeoutMs * MS,
                Set.of()));
      }

      @Override
      public void answered(String id, LabClient.Answer answer) {
        log.add(
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
      public void failed(String id, long connectedAt) {
        // A task is abandoned only if its manager went down; if the connection was never
        // established, the manager did not accept the task.
        if (connectedAt >= 0 && downSince(name, connectedAt)) {
          log.add(new InvariantChecker.TaskAbandoned(System.nanoTime(), id));
        }
      }
    };
  }

  /**
   * Whether a manager was killed or stopped since that time. A manager that is stopped closes its
   * connections for some time, in which tasks may still be on their way to it.
   */
  private boolean downSince(String manager, long time) {
    return faults.processes().stream()
        .anyMatch(
            fault ->
                fault.member().equals(manager)
                    && fault.kind() != FaultSchedule.ProcessFaultKind.STOP
                    && start
                            + fault.startNanos()
                            + (fault.kind() == FaultSchedule.ProcessFaultKind.END ? ENDING : 0)
                        >= time
                    && start + fault.startNanos() <= System.nanoTime());
  }

  /** Logs that a manager was started again. */
  void restarted(String name) {
    log.add(new InvariantChecker.ManagerRestarted(System.nanoTime(), name));
  }

  private interface Step {
    void run() throws Exception;
  }

  private void run(Step step) {
    Thread thread =
        StandInEngine.thread(
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

  private void trouble(EngineTrouble fault, long startNanos) throws IOException, InterruptedException {
    int index = Integer.parseInt(fault.getEngine().substring(1));
    sleepUntil(startNanos + fault.getAtMs() * MS);
    switch (fault.getKind()) {
      case RESTART -> {
        StandInEngine previous = swap(index, null);
        previous.close();
        previous.lose();
        sleepUntil(startNanos + (fault.getAtMs() + fault.getForMs()) * MS);
        synchronized (this) {
          startedAt.put(index, System.nanoTime());
        }
        falls += previous.fallen() ? 1 : 0;
        swap(index, engine(index, engineAddresses.get(index), startedAt.get(index)));
        told(index, "ready");
      }
      case SLOW -> {
        engines.get(index).slow(fault.getFactor());
        sleepUntil(startNanos + (fault.getAtMs() + fault.getForMs()) * MS);
        engines.get(index).slow(1);
      }
      case DRAIN -> {
        told(index, "draining");
        sleepUntil(startNanos + (fault.getAtMs() + fault.getForMs()) * MS);
        told(index, "ready");
      }
      default -> throw new IllegalStateException();
    }
  }

  private synchronized StandInEngine swap(int index, StandInEngine replacement) {
    StandInEngine previous = engines.get(index);
    if (replacement != null) {
      engines.set(index, replacement);
    }
    return previous;
  }

  /** Sleeps until that time of System.nanoTime(). */
  static void sleepUntil(long time) throws InterruptedException {
    Thread.sleep(Math.max(0, (time - System.nanoTime()) / MS));
  }

  /**
   * Waits for the end of the load; returns the figures of the load and the number of violations of
   * each invariant. Writes the logged events to a file.
   */
  Map<String, Double> figures(Path folder) throws InterruptedException, IOException {
    for (Thread thread : threads) {
      thread.join();
    }
    if (failure != null) {
      throw new IOException("the traffic failed: " + failure, failure);
    }
    Map<String, Double> figures = new TreeMap<>();
    double tasks = 0;
    double answeredInTime = 0;
    for (OpenLoop load : loads) {
      Map<String, Double> loadFigures = load.figures();
      tasks += loadFigures.get("tasks");
      answeredInTime += loadFigures.get("tasks") * loadFigures.get("share");
    }
    EngineForm form = plan.getEngine();
    InvariantChecker.Limits limits =
        new InvariantChecker.Limits(
            500 * MS,
            60 * MS,
            1050 * MS,
            form.getCores(),
            form.getStartCapacity(),
            form.getWarmAfterMs() * MS,
            form.getMultiple(),
            form.getWindowMs() * MS,
            0,
            0,
            0);
    List<InvariantChecker.Event> sorted;
    synchronized (log) {
      sorted = new ArrayList<>(log);
    }
    sorted.sort(Comparator.comparingLong(InvariantChecker.Event::at));
    Files.write(
        folder.resolve("seen.log"),
        sorted.stream().map(event -> (event.at() - start) / 1000 + " us " + event).toList());
    InvariantChecker.violations(limits, sorted)
        .forEach((rule, count) -> figures.put("broken." + rule, (double) count));
    InvariantChecker.firstViolations(limits, sorted).forEach(System.err::println);
    for (StandInEngine engine : engines) {
      falls += engine.fallen() ? 1 : 0;
    }
    figures.put("engines.fallen", (double) falls);
    figures.put("tasks", tasks);
    figures.put("share_min", tasks == 0 ? 1 : answeredInTime / tasks);
    return figures;
  }

  @Override
  public void close() throws IOException {
    for (StandInEngine engine : engines) {
      engine.close();
    }
    for (List<StreamRelay> relaysOfManager : relays) {
      for (StreamRelay relay : relaysOfManager) {
        relay.close();
      }
    }
    for (StreamRelay relay : lists) {
      relay.close();
    }
    for (StandInChannel channel : channels) {
      channel.close();
    }
  }
}
