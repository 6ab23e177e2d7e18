package tansytrack.service;

import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.tinylog.Logger;
import tansytrack.Decide;
import tansytrack.api.Actions;
import tansytrack.api.DecisionModule;
import tansytrack.api.QueryClass;
import tansytrack.api.Settings;
import tansytrack.log.Event;
import tansytrack.settings.InvalidInputException;
import tansytrack.settings.ManagerConfig;
import tansytrack.state.Manager;
import tansytrack.state.PeerManagers;
import tansytrack.state.TaskListener;
import tansytrack.state.Timers;
import tansytrack.wire.ProtocolException;
import tansytrack.wire.Sockets;

/** One workload manager from start to stop, and the one loop that all its parts run in. */
public final class Service {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final int EXIT_UNUSABLE_INPUT = 2;
  private static final int EXIT_INTERNAL_ERROR = 3;
  private static final long MAX_WAIT_NANOS = 1000 * NANOS_PER_MS; // of the loop, with nothing due
  private static final int MAX_EVENTS_PER_TURN =
      2048; // taken before timers and decisions have their turn: what came
  // in time must not be judged as late, whatever the lag

  // After SIGTERM, by the platform: new connections for 0.4 s, requests on open ones for 0.2 s
  // more; the rest of COMING
  // is for the lag of a manager on part of a core, which reads late what came in time. SIGKILL
  // after the longest
  // deadline, 3 s of it at most, and 0.7 s more.
  private static final long ACCEPT_AFTER_SIGTERM_NANOS = 1000 * NANOS_PER_MS;
  private static final long FINAL_ANSWERS_NANOS =
      100 * NANOS_PER_MS; // before that, in which those that came last are answered
  private static final long MAX_DEADLINE_BEFORE_KILL_NANOS = 3000 * NANOS_PER_MS;
  private static final long KILL_MARGIN_NANOS = 700 * NANOS_PER_MS;
  private static final String ADDRESS_IN_USE = "in use"; // the machine's words for EADDRINUSE
  private static final long BIND_RETRY_INTERVAL_NANOS = 50 * NANOS_PER_MS;
  private static final long START_TIMEOUT_NANOS =
      5000 * NANOS_PER_MS; // for the file and the address of the start together
  private static final long FIRST_POLL_TIMEOUT_NANOS =
      500 * NANOS_PER_MS; // what the channel's first answer is waited for
  private static final long IDLE_CHECK_INTERVAL_NANOS =
      10 * NANOS_PER_MS; // between looks whether all is answered

  private final LinkedBlockingQueue<Runnable> eventQueue = new LinkedBlockingQueue<>();
  private final SlewedClock clock = new SlewedClock();
  private final Timers timers = new Timers();
  private final Sockets sockets = new Sockets(eventQueue::add, clock);
  private final Manager manager;
  private final CommandChannel channel;
  private final TaskListener taskListener;
  private final PeerManagers peerManagers;
  private final CountDownLatch finished = new CountDownLatch(1);
  private ManagerConfig config; // as last read
  private boolean stopping;
  private boolean closing; // its sessions are closed: it needs no list any more
  private boolean stopped;

  /** Makes what listens to the tasks of one manager. */
  interface TaskListenerFactory {
    TaskListenerFactory NONE = (config, timers, inbox) -> TaskListener.NONE;

    TaskListener create(ManagerConfig config, Timers timers, Consumer<Runnable> inbox);
  }

  /**
   * Makes what keeps in touch with the other managers; how many there are goes to the given one, on
   * any thread.
   */
  interface PeerManagersFactory {
    PeerManagersFactory NONE = (config, count) -> PeerManagers.NONE;

    PeerManagers create(ManagerConfig config, IntConsumer count);
  }

  /** What the operators' file switches on. */
  record OptionalFeatures(
      TaskListenerFactory taskListenerFactory, PeerManagersFactory peerManagersFactory) {
    static final OptionalFeatures NONE =
        new OptionalFeatures(TaskListenerFactory.NONE, PeerManagersFactory.NONE);
  }

  Service(ManagerConfig config) throws ProtocolException {
    this(config, Decide::new, OptionalFeatures.NONE);
  }

  Service(
      ManagerConfig config,
      BiFunction<Settings, Actions, DecisionModule> start,
      OptionalFeatures extras)
      throws ProtocolException {
    this.config = config.withoutKnownEngines();
    timers.now(clock.getAsLong());
    taskListener = extras.taskListenerFactory().create(config, timers, eventQueue::add);
    peerManagers =
        extras
            .peerManagersFactory()
            .create(config, count -> eventQueue.add(() -> this.managerCountChanged(count)));
    manager = new Manager(config, timers, sockets, start, taskListener, peerManagers);
    channel = new CommandChannel(sockets, timers, parseAddress(config.channelAddress()), manager);
    channel.apply(config.knownEngines());
    manager.processPending();
  }

  private void managerCountChanged(int count) {
    manager.managerCountChanged(count);
  }

  /** From here on it can decide, so it may answer. */
  InetSocketAddress listen() throws IOException, ProtocolException {
    return listen(System.nanoTime());
  }

  /**
   * Guards against an address that the process before has not yet given back: it is tried again
   * until that time of the steady clock. Harm: an address that is another's for good is said only
   * then.
   */
  InetSocketAddress listen(long until) throws IOException, ProtocolException {
    InetSocketAddress wanted = parseAddress(config.listenAddress());
    boolean said = false;
    catchUp();
    while (true) {
      try {
        InetSocketAddress at = sockets.listen(wanted, manager::connectionAccepted);
        eventQueue.add(manager::resolveForwards);
        peerManagers.markServing();
        Event.info(
            "listening",
            config.name() + " listens at " + at.getHostString() + ':' + at.getPort(),
            "manager",
            config.name(),
            "address",
            at.getHostString() + ':' + at.getPort());
        return at;
      } catch (IOException e) {
        Throwable root = e;
        while (root.getCause() != null) {
          root = root.getCause();
        }
        String what = "cannot listen at " + config.listenAddress() + ": " + root.getMessage();
        long left = until - System.nanoTime();
        if (left <= 0 || !(root instanceof BindException) || !what.contains(ADDRESS_IN_USE)) {
          throw new IOException(what, e);
        }
        if (!said) {
          said = true;
          Logger.warn("{}; tried again for up to {} ms", what, left / NANOS_PER_MS);
        }
        ConfigFile.sleepNanos(Math.min(BIND_RETRY_INTERVAL_NANOS, left));
      }
    }
  }

  /**
   * Asks the channel for what it has told since the file was written, before any client can come.
   * Guards against sends to engines that were told to be draining while this process was starting:
   * that takes a second, and the rule allows no more. Harm: where the channel is out of reach, the
   * start takes longer by the time that it is waited for.
   */
  private void catchUp() throws IOException {
    timers.now(clock.getAsLong());
    long until = timers.now() + FIRST_POLL_TIMEOUT_NANOS;
    timers.schedule(until, () -> {}); // the loop naps no longer than that
    channel.poll();
    try {
      while (!channel.upToDate() && timers.now() < until) {
        runOnce();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("told to end while starting", e);
    }
  }

  /**
   * Serves until SIGTERM: 0, 2 for a configuration that cannot be used, 3 after a failure inside.
   */
  public static int serve(String path, String operator) {
    long until = System.nanoTime() + START_TIMEOUT_NANOS;
    Service service;
    ConfigurationReload reload;
    try {
      ConfigFile file = new ConfigFile(path);
      // Before all else: SIGHUP would end a JVM that has nothing for it.
      reload = new ConfigurationReload(file);
      if (!SighupHandler.install(reload::onSignal)) {
        new ConfigurationFilePoller(path, reload::onSignal).start();
      }
      OptionalFeatures extras =
          operator == null ? OptionalFeatures.NONE : OperatorFeatures.load(operator);
      service = create(file.read(until), extras);
    } catch (IOException | InvalidInputException e) {
      return reportUnusableInput(e);
    }
    // Before it listens: SIGTERM would end the program at once, with clients that have been
    // accepted.
    Runtime.getRuntime().addShutdownHook(new Thread(service::terminateAndWait, "stop"));
    try {
      service.listen(until);
      reload.setConsumer(service::configurationRead);
    } catch (IOException | ProtocolException e) {
      service.finished.countDown();
      return reportUnusableInput(e);
    } catch (RuntimeException | Error e) {
      return haltAfterFailure(e);
    }
    try {
      service.run();
    } catch (Throwable e) {
      return haltAfterFailure(e);
    }
    service.finished.countDown();
    return 0;
  }

  /** Not swallowed, not waited out: what a half-told module would decide is worth nothing. */
  private static int haltAfterFailure(Throwable why) {
    Logger.error(why, "a failure inside ends the workload manager");
    Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR);
    return EXIT_INTERNAL_ERROR;
  }

  private static Service create(ConfigFile.LoadedConfig from, OptionalFeatures extras) {
    try {
      return new Service(from.config(), Decide::new, extras);
    } catch (ProtocolException e) {
      throw new InvalidInputException(from.source() + ": known: " + e.getMessage());
    }
  }

  /**
   * Starts as far as that goes without a socket, and waits for nothing: 0, or 2 for what cannot be
   * used.
   */
  public static int check(String path, String operator, PrintStream out) {
    try {
      String installed = operator == null ? "" : OperatorFeatures.summary(operator);
      ConfigFile.LoadedConfig from = new ConfigFile(path).readOnce();
      Service service = create(from, OptionalFeatures.NONE);
      service.sockets.close();
      ManagerConfig config = from.config();
      out.println(
          config.name()
              + ": "
              + config.settings().queryClasses().size()
              + " service grades, "
              + config.settings().tenants().size()
              + " tenants, "
              + service.manager.engineCount()
              + " engines"
              + installed);
      return 0;
    } catch (IOException | InvalidInputException e) {
      return reportUnusableInput(e);
    }
  }

  /** Rehearses serving on loopback: 0, or 2 for a configuration that cannot be used. */
  public static int rehearse(String path, PrintStream out) {
    try {
      out.println(
          "rehearsed: "
              + Rehearsal.run(new ConfigFile(path).readOnce().config())
              + " tasks handled");
      return 0;
    } catch (IOException | ProtocolException | InvalidInputException e) {
      return reportUnusableInput(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_INTERNAL_ERROR;
    }
  }

  private static int reportUnusableInput(Exception why) {
    System.err.println("tansytrack: " + why.getMessage());
    return EXIT_UNUSABLE_INPUT;
  }

  /** What SIGHUP brought; on the thread that read it. */
  void configurationRead(ConfigFile.LoadedConfig next) {
    eventQueue.add(() -> reconfigure(next.config(), next.channel()));
  }

  /**
   * What can change while tasks are open does; for the rest a line says that it takes a restart.
   */
  private void reconfigure(ManagerConfig next, InetSocketAddress to) {
    if (closing) {
      return;
    }
    manager.counters().increment("configurations.read");
    String rest = config.nonReloadableDifferences(next);
    Logger.info(
        "new configuration: command channel at {}{}",
        next.channelAddress(),
        rest.isEmpty() ? "" : "; takes a restart: " + rest);
    config = next.withoutKnownEngines();
    manager.updateMaxDescriptors(next.maxDescriptors());
    channel.moveTo(to, next.knownEngines());
  }

  static InetSocketAddress parseAddress(String text) throws ProtocolException {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port >= 0 && port < 65536) {
        InetSocketAddress address = new InetSocketAddress(text.substring(0, colon), port);
        if (!address.isUnresolved()) {
          return address;
        }
      }
    } catch (NumberFormatException e) {
      // said below
    }
    throw new ProtocolException("'" + text + "' is not an address with a port");
  }

  /** The loop; it ends some time after it was told to, with all given back. */
  void run() throws InterruptedException {
    try {
      while (!stopped) {
        runOnce();
      }
    } finally {
      taskListener.close();
      peerManagers.close();
      sockets.close();
      logCounters();
    }
  }

  long tasksHandled() {
    return manager.counters().get("tasks.handled");
  }

  int openDescriptors() {
    return sockets.openConnections();
  }

  private void runOnce() throws InterruptedException {
    timers.now(clock.getAsLong());
    long nap = timers.nanosUntilNext(MAX_WAIT_NANOS);
    Runnable note = eventQueue.poll(nap, TimeUnit.NANOSECONDS);
    clock.slew();
    timers.advanceAfterSleep(clock.getAsLong(), nap);
    for (int i = 0; note != null && i < MAX_EVENTS_PER_TURN; i++) {
      note.run();
      note = eventQueue.poll();
    }
    if (note != null) {
      note.run();
    }
    timers.runDue();
    manager.processPending();
  }

  void terminate() {
    eventQueue.add(this::beginShutdown);
  }

  /** Runs on the thread that the machine starts for SIGTERM: the program ends when it returns. */
  private void terminateAndWait() {
    terminate();
    try {
      finished.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** SIGTERM: tasks come for a while yet, and are served or given back as the module decides. */
  private void beginShutdown() {
    if (stopping) {
      return;
    }
    long longest =
        config.settings().queryClasses().stream()
            .mapToLong(QueryClass::deadlineNanos)
            .max()
            .orElse(0);
    long until =
        timers.now() + Math.min(longest, MAX_DEADLINE_BEFORE_KILL_NANOS) + KILL_MARGIN_NANOS;
    Event.info(
        "ending",
        "told to end; answers count for " + (until - timers.now()) / NANOS_PER_MS + " ms more",
        "for_ms",
        (until - timers.now()) / NANOS_PER_MS);
    stopping = true;
    peerManagers.markLeaving();
    manager.beginShutdown(until);
    timers.schedule(
        Math.min(timers.now() + ACCEPT_AFTER_SIGTERM_NANOS, until - FINAL_ANSWERS_NANOS),
        () -> {
          sockets.stopListening();
          closeWhenIdle(until);
        });
  }

  private void closeWhenIdle(long until) {
    boolean late = timers.now() > until;
    if (late || manager.idle()) {
      closing = true;
      // What tells engines that nobody waits any more still goes out.
      channel.close();
      manager.close();
      stopped = sockets.openConnections() == 0 || timers.now() > until + KILL_MARGIN_NANOS;
    }
    timers.schedule(timers.now() + IDLE_CHECK_INTERVAL_NANOS, () -> closeWhenIdle(until));
  }

  private void logCounters() {
    StringBuilder line = new StringBuilder();
    List<Object> pairs = new ArrayList<>();
    for (Map.Entry<String, Long> one : manager.counters().asMap().entrySet()) {
      line.append(' ').append(one.getKey()).append('=').append(one.getValue());
      pairs.add(one.getKey());
      pairs.add(one.getValue());
    }
    Event.info("counters", "counters:" + line, pairs.toArray());
  }
}
