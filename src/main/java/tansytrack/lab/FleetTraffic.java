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
 * What a fleet of processes serves: engines in places, a list for each manager, streams through
 * relays, an open-loop load on each manager. Keeps a log of all that clients, engines and the list
 * saw, for the checker of the rules.
 */
final class FleetTraffic implements AutoCloseable {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long SHUTDOWN_NANOS = 4000 * NANOS_PER_MS;

  private final FleetPlan plan;
  private final FaultSchedule faults;
  private final List<String> managers;
  private final List<String> zones;
  private final long seed;
  private final List<FakeEngine> engines = new ArrayList<>();
  private final List<InetSocketAddress> engineAddresses = new ArrayList<>();
  private final List<FakeCommandChannel> channels = new ArrayList<>();
  private final List<StreamRelay> channelRelays = new ArrayList<>();
  private final List<List<StreamRelay>> engineRelays = new ArrayList<>(); // by manager and engine
  private final List<InvariantChecker.Event> events =
      Collections.synchronizedList(new ArrayList<>());
  private final Map<String, Arrival> arrivals = new ConcurrentHashMap<>();
  private final Map<String, String> managerOfTask =
      new ConcurrentHashMap<>(); // the manager of a task
  private final Map<Integer, Long> engineStartNanos =
      new HashMap<>(); // of engines, ns on this machine's steady clock
  private final List<OpenLoopGenerator> loads = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private int revision = 1;
  private int crashes;
  private volatile long startNanos = System.nanoTime();
  private volatile Exception failure;

  FleetTraffic(
      FleetPlan plan, FaultSchedule faults, List<String> managers, List<String> places, long seed)
      throws IOException {
    this.plan = plan;
    this.faults = faults;
    this.managers = managers;
    this.zones = places;
    this.seed = seed;
    for (int i = 0; i < plan.getEngines(); i++) {
      engines.add(engine(i, new InetSocketAddress("127.22.0." + (i + 1), 0), warmStartNanos()));
      String[] at = engines.get(i).address().split(":");
      engineAddresses.add(new InetSocketAddress(at[0], Integer.parseInt(at[1])));
    }
    for (int m = 0; m < managers.size(); m++) {
      int by = m;
      FakeCommandChannel channel =
          new FakeCommandChannel(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      channels.add(channel);
      channelRelays.add(
          new StreamRelay(
              "127.0.0.1",
              address(channel.address()),
              () -> activeFault(by, "list", "list"),
              seed ^ m));
      List<StreamRelay> own = new ArrayList<>();
      for (int i = 0; i < engines.size(); i++) {
        int to = i;
        own.add(
            new StreamRelay(
                "127.23." + m + '.' + (i + 1),
                engineAddresses.get(i),
                () -> activeFault(by, "e" + to, engineZone(to)),
                seed * 4096 + m * 64L + i));
      }
      engineRelays.add(own);
    }
    for (int i = 0; i < engines.size(); i++) {
      announce(i, "ready");
    }
  }

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

  private FaultSchedule.StreamFault activeFault(int manager, String to, String place) {
    return faults.activeStreamFault(
        System.nanoTime() - startNanos, managers.get(manager), zones.get(manager), to, place);
  }

  private FakeEngine engine(int which, InetSocketAddress at, long startedAt) throws IOException {
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
        "e" + which,
        at,
        new EngineModel(spec, startedAt),
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
        });
  }

  /** Tells all managers of an engine; each by the address of its own relay. */
  private synchronized void announce(int engine, String phase) {
    long since = engineStartNanos.getOrDefault(engine, 0L);
    long unix =
        since == 0 ? 0 : System.currentTimeMillis() - (System.nanoTime() - since) / NANOS_PER_MS;
    events.add(
        new InvariantChecker.EngineListed(
            System.nanoTime(), "e" + engine, engineZone(engine), phase.equals("ready"), since));
    revision++;
    for (int m = 0; m < managers.size(); m++) {
      channels
          .get(m)
          .publish(
              "{\"revision\":"
                  + revision
                  + ",\"complete\":false,\"members\":[{\"id\":\"e"
                  + engine
                  + "\",\"host_port\":\""
                  + engineRelays.get(m).get(engine).address()
                  + "\",\"locality\":\""
                  + engineZone(engine)
                  + "\",\"flavor\":\"k\",\"cell\":0,\"phase\":\""
                  + phase
                  + "\",\"size\":8,\"up_since_ms\":"
                  + unix
                  + "}]}");
    }
  }

  String channelAddress(int manager) {
    return channelRelays.get(manager).address();
  }

  String knownEvents(int manager) {
    return channels.get(manager).knownEvents();
  }

  /** The load and the troubles begin now. */
  void start(List<InetSocketAddress> listeners, long from) {
    startNanos = from;
    for (int m = 0; plan.hasLoad() && m < managers.size(); m++) {
      String name = managers.get(m);
      LoadFile file = LoadFile.validated("fleet.load", plan.getLoad());
      OpenLoopGenerator load =
          new OpenLoopGenerator(file, listeners.get(m), seed * 64 + m, listener(name));
      loads.add(load);
      run(load::run);
    }
    for (EngineTrouble one : plan.getEngineTroublesList()) {
      run(() -> inject(one, from));
    }
  }

  /** Writes down what a manager's clients ask and hear. */
  private OpenLoopGenerator.Listener listener(String name) {
    return new OpenLoopGenerator.Listener() {
      @Override
      public void taskSubmitted(String id, Arrival one, long waitMs) {
        arrivals.put(id, one);
        managerOfTask.put(id, name);
        long now = System.nanoTime();
        events.add(
            new InvariantChecker.TaskSubmitted(
                now,
                name,
                id,
                one.queryClass().equals("load")
                    ? InvariantChecker.RetrySafety.NON_IDEMPOTENT
                    : InvariantChecker.RetrySafety.IDEMPOTENT,
                one.key(),
                now + waitMs * NANOS_PER_MS,
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
      public void taskFailed(String id, long connectedAt) {
        // One that a manager was taken down under is lost with it; one that was never
        // taken is owed nothing.
        if (connectedAt >= 0 && wentDownSince(name, connectedAt)) {
          events.add(new InvariantChecker.TaskAbandoned(System.nanoTime(), id));
        }
      }
    };
  }

  /**
   * Was that manager killed or ended since? One that ends closes connections for a while, which
   * tasks may cross.
   */
  private boolean wentDownSince(String name, long time) {
    return faults.processes().stream()
        .anyMatch(
            one ->
                one.member().equals(name)
                    && one.kind() != FaultSchedule.ProcessFaultKind.STOP
                    && startNanos
                            + one.startNanos()
                            + (one.kind() == FaultSchedule.ProcessFaultKind.END
                                ? SHUTDOWN_NANOS
                                : 0)
                        >= time
                    && startNanos + one.startNanos() <= System.nanoTime());
  }

  /** That manager has been started again. */
  void managerRestarted(String name) {
    events.add(new InvariantChecker.ManagerRestarted(System.nanoTime(), name));
  }

  private interface ThrowingRunnable {
    void run() throws Exception;
  }

  private void run(ThrowingRunnable what) {
    Thread thread =
        FakeEngine.daemonThread(
            () -> {
              try {
                what.run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              } catch (Exception e) {
                failure = e;
              }
            });
    threads.add(thread);
    thread.start();
  }

  private void inject(EngineTrouble what, long from) throws IOException, InterruptedException {
    int which = Integer.parseInt(what.getEngine().substring(1));
    sleepUntil(from + what.getAtMs() * NANOS_PER_MS);
    switch (what.getKind()) {
      case RESTART -> {
        FakeEngine old = replaceEngine(which, null);
        old.close();
        old.loseQueries();
        sleepUntil(from + (what.getAtMs() + what.getForMs()) * NANOS_PER_MS);
        synchronized (this) {
          engineStartNanos.put(which, System.nanoTime());
        }
        crashes += old.hasCrashed() ? 1 : 0;
        replaceEngine(
            which, engine(which, engineAddresses.get(which), engineStartNanos.get(which)));
        announce(which, "ready");
      }
      case SLOW -> {
        engines.get(which).slowDown(what.getFactor());
        sleepUntil(from + (what.getAtMs() + what.getForMs()) * NANOS_PER_MS);
        engines.get(which).slowDown(1);
      }
      case DRAIN -> {
        announce(which, "draining");
        sleepUntil(from + (what.getAtMs() + what.getForMs()) * NANOS_PER_MS);
        announce(which, "ready");
      }
      default -> throw new IllegalStateException();
    }
  }

  private synchronized FakeEngine replaceEngine(int which, FakeEngine next) {
    FakeEngine old = engines.get(which);
    if (next != null) {
      engines.set(which, next);
    }
    return old;
  }

  static void sleepUntil(long time) throws InterruptedException {
    Thread.sleep(Math.max(0, (time - System.nanoTime()) / NANOS_PER_MS));
  }

  /**
   * Waits for the load, and gives the figures of what was served and of the rules; what was seen is
   * left in a file.
   */
  Map<String, Double> figures(Path folder) throws InterruptedException, IOException {
    for (Thread one : threads) {
      one.join();
    }
    if (failure != null) {
      throw new IOException("the traffic failed: " + failure, failure);
    }
    Map<String, Double> figures = new TreeMap<>();
    double tasks = 0;
    double good = 0;
    for (OpenLoopGenerator load : loads) {
      Map<String, Double> one = load.figures();
      tasks += one.get("tasks");
      good += one.get("tasks") * one.get("share");
    }
    EngineForm form = plan.getEngine();
    InvariantChecker.Limits rules =
        new InvariantChecker.Limits(
            500 * NANOS_PER_MS,
            60 * NANOS_PER_MS,
            1050 * NANOS_PER_MS,
            form.getCores(),
            form.getStartCapacity(),
            form.getWarmAfterMs() * NANOS_PER_MS,
            form.getMultiple(),
            form.getWindowMs() * NANOS_PER_MS,
            0,
            0,
            0);
    List<InvariantChecker.Event> all;
    synchronized (events) {
      all = new ArrayList<>(events);
    }
    all.sort(Comparator.comparingLong(InvariantChecker.Event::at));
    Files.write(
        folder.resolve("seen.log"),
        all.stream().map(one -> (one.at() - startNanos) / 1000 + " us " + one).toList());
    InvariantChecker.violations(rules, all)
        .forEach((rule, times) -> figures.put("broken." + rule, (double) times));
    InvariantChecker.firstViolations(rules, all).forEach(System.err::println);
    for (FakeEngine one : engines) {
      crashes += one.hasCrashed() ? 1 : 0;
    }
    figures.put("engines.fallen", (double) crashes);
    figures.put("tasks", tasks);
    figures.put("share_min", tasks == 0 ? 1 : good / tasks);
    return figures;
  }

  @Override
  public void close() throws IOException {
    for (FakeEngine one : engines) {
      one.close();
    }
    for (List<StreamRelay> own : engineRelays) {
      for (StreamRelay one : own) {
        one.close();
      }
    }
    for (StreamRelay one : channelRelays) {
      one.close();
    }
    for (FakeCommandChannel one : channels) {
      one.close();
    }
  }
}
