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
      FleetPlan plan, FaultSchedule faults, List<String> managers, List<String> places, long seed)
      throws IOException {
    this.plan = plan;
    this.faults = faults;
    this.managers = managers;
    this.places = places;
    this.seed = seed;
    for (int i = 0; i < plan.getEngines(); i++) {
      engines.add(engine(i, new InetSocketAddress("127.22.0." + (i + 1), 0), longAgo()));
      String[] at = engines.get(i).address().split(":");
      engineAddresses.add(new InetSocketAddress(at[0], Integer.parseInt(at[1])));
    }
    for (int m = 0; m < managers.size(); m++) {
      int by = m;
      StandInChannel channel =
          new StandInChannel(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      channels.add(channel);
      lists.add(
          new StreamRelay(
              "127.0.0.1", address(channel.address()), () -> holds(by, "list", "list"), seed ^ m));
      List<StreamRelay> own = new ArrayList<>();
      for (int i = 0; i < engines.size(); i++) {
        int to = i;
        own.add(
            new StreamRelay(
                "127.23." + m + '.' + (i + 1),
                engineAddresses.get(i),
                () -> holds(by, "e" + to, enginePlace(to)),
                seed * 4096 + m * 64L + i));
      }
      relays.add(own);
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

  private FaultSchedule.StreamFault holds(int manager, String to, String place) {
    return faults.activeStreamFault(
        System.nanoTime() - start, managers.get(manager), places.get(manager), to, place);
  }

  private StandInEngine engine(int which, InetSocketAddress at, long startedAt) throws IOException {
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
        "e" + which,
        at,
        new EngineModel(spec, startedAt),
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
    long since = startedAt.getOrDefault(engine, 0L);
    long unix = since == 0 ? 0 : System.currentTimeMillis() - (System.nanoTime() - since) / MS;
    log.add(
        new InvariantChecker.EngineListed(
            System.nanoTime(), "e" + engine, enginePlace(engine), phase.equals("ready"), since));
    revision++;
    for (int m = 0; m < managers.size(); m++) {
      channels
          .get(m)
          .tell(
              "{\"revision\":"
                  + revision
                  + ",\"complete\":false,\"members\":[{\"id\":\"e"
                  + engine
                  + "\",\"host_port\":\""
                  + relays.get(m).get(engine).address()
                  + "\",\"locality\":\""
                  + enginePlace(engine)
                  + "\",\"flavor\":\"k\",\"cell\":0,\"phase\":\""
                  + phase
                  + "\",\"size\":8,\"up_since_ms\":"
                  + unix
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
   * @param from start of the fault schedule, by System.nanoTime()
   */
  void begin(List<InetSocketAddress> listeners, long from) {
    start = from;
    for (int m = 0; plan.hasLoad() && m < managers.size(); m++) {
      String name = managers.get(m);
      LoadFile file = LoadFile.checked("fleet.load", plan.getLoad());
      OpenLoop load = new OpenLoop(file, listeners.get(m), seed * 64 + m, watcher(name));
      loads.add(load);
      run(load::play);
    }
    for (EngineTrouble one : plan.getEngineTroublesList()) {
      run(() -> trouble(one, from));
    }
  }

  /** Logs the tasks and answers of a manager's clients. */
  private OpenLoop.Watcher watcher(String name) {
    return new OpenLoop.Watcher() {
      @Override
      public void asking(String id, Arrival one, long waitMs) {
        asked.put(id, one);
        taker.put(id, name);
        long now = System.nanoTime();
        log.add(
            new InvariantChecker.TaskSubmitted(
                now,
                name,
                id,
                one.grade().equals("load")
                    ? InvariantChecker.RetrySafety.NON_IDEMPOTENT
                    : InvariantChecker.RetrySafety.IDEMPOTENT,
                one.key(),
                now + waitMs * MS,
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
  private boolean downSince(String name, long time) {
    return faults.processes().stream()
        .anyMatch(
            one ->
                one.member().equals(name)
                    && one.kind() != FaultSchedule.ProcessFaultKind.STOP
                    && start
                            + one.startNanos()
                            + (one.kind() == FaultSchedule.ProcessFaultKind.END ? ENDING : 0)
                        >= time
                    && start + one.startNanos() <= System.nanoTime());
  }

  /** Logs that a manager was started again. */
  void restarted(String name) {
    log.add(new InvariantChecker.ManagerRestarted(System.nanoTime(), name));
  }

  private interface Step {
    void run() throws Exception;
  }

  private void run(Step what) {
    Thread thread =
        StandInEngine.thread(
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

  private void trouble(EngineTrouble what, long from) throws IOException, InterruptedException {
    int which = Integer.parseInt(what.getEngine().substring(1));
    sleepUntil(from + what.getAtMs() * MS);
    switch (what.getKind()) {
      case RESTART -> {
        StandInEngine old = swap(which, null);
        old.close();
        old.lose();
        sleepUntil(from + (what.getAtMs() + what.getForMs()) * MS);
        synchronized (this) {
          startedAt.put(which, System.nanoTime());
        }
        falls += old.fallen() ? 1 : 0;
        swap(which, engine(which, engineAddresses.get(which), startedAt.get(which)));
        told(which, "ready");
      }
      case SLOW -> {
        engines.get(which).slow(what.getFactor());
        sleepUntil(from + (what.getAtMs() + what.getForMs()) * MS);
        engines.get(which).slow(1);
      }
      case DRAIN -> {
        told(which, "draining");
        sleepUntil(from + (what.getAtMs() + what.getForMs()) * MS);
        told(which, "ready");
      }
      default -> throw new IllegalStateException();
    }
  }

  private synchronized StandInEngine swap(int which, StandInEngine next) {
    StandInEngine old = engines.get(which);
    if (next != null) {
      engines.set(which, next);
    }
    return old;
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
    for (Thread one : threads) {
      one.join();
    }
    if (failure != null) {
      throw new IOException("the traffic failed: " + failure, failure);
    }
    Map<String, Double> figures = new TreeMap<>();
    double tasks = 0;
    double good = 0;
    for (OpenLoop load : loads) {
      Map<String, Double> one = load.figures();
      tasks += one.get("tasks");
      good += one.get("tasks") * one.get("share");
    }
    EngineForm form = plan.getEngine();
    InvariantChecker.Limits rules =
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
    List<InvariantChecker.Event> all;
    synchronized (log) {
      all = new ArrayList<>(log);
    }
    all.sort(Comparator.comparingLong(InvariantChecker.Event::at));
    Files.write(
        folder.resolve("seen.log"),
        all.stream().map(one -> (one.at() - start) / 1000 + " us " + one).toList());
    InvariantChecker.violations(rules, all)
        .forEach((rule, times) -> figures.put("broken." + rule, (double) times));
    InvariantChecker.firstViolations(rules, all).forEach(System.err::println);
    for (StandInEngine one : engines) {
      falls += one.fallen() ? 1 : 0;
    }
    figures.put("engines.fallen", (double) falls);
    figures.put("tasks", tasks);
    figures.put("share_min", tasks == 0 ? 1 : good / tasks);
    return figures;
  }

  @Override
  public void close() throws IOException {
    for (StandInEngine one : engines) {
      one.close();
    }
    for (List<StreamRelay> own : relays) {
      for (StreamRelay one : own) {
        one.close();
      }
    }
    for (StreamRelay one : lists) {
      one.close();
    }
    for (StandInChannel one : channels) {
      one.close();
    }
  }
}
