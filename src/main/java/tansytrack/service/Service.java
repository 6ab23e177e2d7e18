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
import tansytrack.wire.MemoryBudget;
import tansytrack.wire.ProtocolException;
import tansytrack.wire.Sockets;

/** One workload manager from start to stop, with the event loop that all its parts run in. */
public final class Service {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final int EXIT_UNUSABLE_INPUT = 2;
  private static final int EXIT_INTERNAL_ERROR = 3;

  /** How long the loop waits for an event at most when no timer is due. */
  private static final long MAX_WAIT_NANOS = 1000 * NANOS_PER_MS;

  /**
   * Events that are processed before timers and decisions run. The number is large, so that events
   * which arrived in time are not judged as late when the loop lags.
   */
  private static final int MAX_EVENTS_PER_ITERATION = 2048;

  /**
   * How long the manager listens after SIGTERM. The platform opens new connections for 0.4 s, and
   * sends requests on open ones for 0.2 s more; the rest allows for the lag of a manager on a
   * fraction of a core, which reads late what arrived in time.
   */
  private static final long ACCEPT_AFTER_SIGTERM_NANOS = 1000 * NANOS_PER_MS;

  /** Time reserved before SIGKILL for answers to the requests that arrived last. */
  private static final long FINAL_ANSWERS_TIME_NANOS = 100 * NANOS_PER_MS;

  /**
   * The platform sends SIGKILL after the longest deadline, or after this time if it is shorter,
   * plus {@link Service#KILL_MARGIN_NANOS}.
   */
  private static final long MAX_DEADLINE_BEFORE_KILL_NANOS = 3000 * NANOS_PER_MS;

  /** Time between the longest deadline and SIGKILL; also the limit for closing after that time. */
  private static final long KILL_MARGIN_NANOS = 700 * NANOS_PER_MS;

  /** Part of the operating system's message for EADDRINUSE. */
  private static final String ADDRESS_IN_USE = "in use";

  /** Time between two attempts to bind the address. */
  private static final long BIND_RETRY_INTERVAL_NANOS = 50 * NANOS_PER_MS;

  /** Limit for reading the configuration file and binding the address, together. */
  private static final long START_TIMEOUT_NANOS = 5000 * NANOS_PER_MS;

  /** How long a start waits for the command channel's first answer. */
  private static final long FIRST_POLL_TIMEOUT_NANOS = 500 * NANOS_PER_MS;

  /** Time between checks, during shutdown, whether all requests are answered. */
  private static final long IDLE_CHECK_INTERVAL_NANOS = 10 * NANOS_PER_MS;

  private final LinkedBlockingQueue<Runnable> eventQueue = new LinkedBlockingQueue<>();
  private final SlewedClock clock = new SlewedClock();
  private final Timers timers = new Timers();
  private final Sockets sockets;
  private final Manager manager;
  private final CommandChannel channel;
  private final TaskListener taskListener;
  private final PeerManagers peerManagers;
  private final CountDownLatch finished = new CountDownLatch(1);

  /** The configuration as last read. */
  private ManagerConfig config;

  private boolean stopping;

  /** Whether the sessions are closed, so that the engine list is no longer needed. */
  private boolean closing;

  private boolean stopped;

  /** Creates the listener to the tasks of one manager. */
  interface TaskListenerFactory {
    TaskListenerFactory NONE = (config, timers, eventQueue) -> TaskListener.NONE;

    TaskListener create(ManagerConfig config, Timers timers, Consumer<Runnable> eventQueue);
  }

  /**
   * Creates the link to the other managers. It reports the number of managers to {@code
   * managerCountConsumer}, on any thread.
   */
  interface PeerManagersFactory {
    PeerManagersFactory NONE = (config, managerCountConsumer) -> PeerManagers.NONE;

    PeerManagers create(ManagerConfig config, IntConsumer managerCountConsumer);
  }

  /** The features that the operator file switches on. */
  record OptionalFeatures(
      TaskListenerFactory taskListenerFactory, PeerManagersFactory peerManagersFactory) {
    static final OptionalFeatures NONE =
        new OptionalFeatures(TaskListenerFactory.NONE, PeerManagersFactory.NONE);
  }

  Service(ManagerConfig config) throws ProtocolException {
    this(config, Decide::new, OptionalFeatures.NONE, MemoryBudget.limitByHeap());
  }

  /** Creates a manager with a bound in bytes on the memory for clients and from engines. */
  Service(
      ManagerConfig config,
      BiFunction<Settings, Actions, DecisionModule> decisionModuleFactory,
      OptionalFeatures optionalFeatures,
      long memoryLimit)
      throws ProtocolException {
    sockets = new Sockets(eventQueue::add, clock, memoryLimit);
    this.config = config.withoutKnownEngines();
    timers.now(clock.getAsLong());
    taskListener = optionalFeatures.taskListenerFactory().create(config, timers, eventQueue::add);
    peerManagers =
        optionalFeatures
            .peerManagersFactory()
            .create(config, count -> eventQueue.add(() -> managerCountChanged(count)));
    manager =
        new Manager(config, timers, sockets, decisionModuleFactory, taskListener, peerManagers);
    channel = new CommandChannel(sockets, timers, parseAddress(config.channelAddress()), manager);
    channel.apply(config.knownEngines());
    manager.processPending();
  }

  private void managerCountChanged(int count) {
    manager.managerCountChanged(count);
  }

  /** Starts to listen, with a single attempt to bind the address. */
  InetSocketAddress listen() throws IOException, ProtocolException {
    return listen(System.nanoTime());
  }

  /**
   * Starts to listen. While the address is in use, because the previous process has not yet
   * released it, binding is retried until the deadline, a value of {@link System#nanoTime}. The
   * disadvantage: an address that another process keeps is reported only at the deadline.
   */
  InetSocketAddress listen(long deadlineNanos) throws IOException, ProtocolException {
    InetSocketAddress configuredAddress = parseAddress(config.listenAddress());
    boolean warned = false;
    catchUp();
    while (true) {
      try {
        InetSocketAddress boundAddress =
            sockets.listen(configuredAddress, manager::connectionAccepted);
        eventQueue.add(manager::resolveForwards);
        peerManagers.markServing();
        Event.info(
            "listening",
            config.name()
                + " listens at "
                + boundAddress.getHostString()
                + ':'
                + boundAddress.getPort(),
            "manager",
            config.name(),
            "address",
            boundAddress.getHostString() + ':' + boundAddress.getPort());
        return boundAddress;
      } catch (IOException e) {
        Throwable root = e;
        while (root.getCause() != null) {
          root = root.getCause();
        }
        String message = "cannot listen at " + config.listenAddress() + ": " + root.getMessage();
        long remainingNanos = deadlineNanos - System.nanoTime();
        if (remainingNanos <= 0
            || !(root instanceof BindException)
            || !message.contains(ADDRESS_IN_USE)) {
          throw new IOException(message, e);
        }
        if (!warned) {
          warned = true;
          Logger.warn("{}; retrying for up to {} ms", message, remainingNanos / NANOS_PER_MS);
        }
        ConfigFile.sleepNanos(Math.min(BIND_RETRY_INTERVAL_NANOS, remainingNanos));
      }
    }
  }

  /**
   * Polls the channel for the events since the file was written, before any client can connect.
   * Otherwise the manager would send to engines that began to drain during the start of this
   * process: a start takes a second, and the platform allows no more time than that. While the
   * channel is unreachable, a start takes longer by {@link Service#FIRST_POLL_TIMEOUT_NANOS}.
   */
  private void catchUp() throws IOException {
    timers.now(clock.getAsLong());
    long pollDeadlineNanos = timers.now() + FIRST_POLL_TIMEOUT_NANOS;
    timers.schedule(pollDeadlineNanos, () -> {}); // wakes the loop at that time
    channel.poll();
    try {
      while (!channel.upToDate() && timers.now() < pollDeadlineNanos) {
        runOnce();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while starting", e);
    }
  }

  /**
   * Serves until SIGTERM. Returns exit code 0, 2 for a configuration that cannot be used, or 3
   * after an internal failure.
   */
  public static int serve(String path, String operator) {
    long deadlineNanos = System.nanoTime() + START_TIMEOUT_NANOS;
    Service service;
    ConfigurationReload reload;
    try {
      ConfigFile file = new ConfigFile(path);
      // Before all else: SIGHUP ends a JVM that has no handler for it.
      reload = new ConfigurationReload(file);
      if (!SighupHandler.install(reload::onSignal)) {
        new ConfigurationFilePoller(path, reload::onSignal).start();
      }
      OptionalFeatures optionalFeatures =
          operator == null ? OptionalFeatures.NONE : OperatorFeatures.load(operator);
      service = create(file.read(deadlineNanos), optionalFeatures);
    } catch (IOException | InvalidInputException e) {
      return reportUnusableInput(e);
    }
    // Before it listens: without the hook, SIGTERM would end the process at once and cut off
    // clients that have been accepted.
    Runtime.getRuntime().addShutdownHook(new Thread(service::terminateAndWait, "stop"));
    try {
      service.listen(deadlineNanos);
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

  /**
   * Halts the process without running its shutdown hooks: after an internal failure the decision
   * code may have received only part of an event, and its decisions are not reliable.
   */
  private static int haltAfterFailure(Throwable cause) {
    Logger.error(cause, "a failure inside ends the workload manager");
    Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR);
    return EXIT_INTERNAL_ERROR;
  }

  private static Service create(ConfigFile.LoadedConfig loaded, OptionalFeatures optionalFeatures) {
    long memoryLimit = MemoryBudget.limitByHeap();
    try {
      return new Service(loaded.config(), Decide::new, optionalFeatures, memoryLimit);
    } catch (ProtocolException e) {
      throw new InvalidInputException(loaded.source() + ": known: " + e.getMessage());
    }
  }

  /**
   * Checks a configuration: starts as far as possible without a socket, and waits for nothing.
   * Returns exit code 0, or 2 for input that cannot be used.
   */
  public static int check(String path, String operator, PrintStream out) {
    try {
      String features = operator == null ? "" : OperatorFeatures.summary(operator);
      ConfigFile.LoadedConfig loaded = new ConfigFile(path).readOnce();
      Service service = create(loaded, OptionalFeatures.NONE);
      service.sockets.close();
      ManagerConfig config = loaded.config();
      out.println(
          config.name()
              + ": "
              + config.settings().queryClasses().size()
              + " query classes, "
              + config.settings().tenants().size()
              + " tenants, "
              + service.manager.engineCount()
              + " engines"
              + features);
      return 0;
    } catch (IOException | InvalidInputException e) {
      return reportUnusableInput(e);
    }
  }

  /**
   * Rehearses serving on loopback. Returns exit code 0, or 2 for a configuration that cannot be
   * used.
   */
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

  private static int reportUnusableInput(Exception cause) {
    System.err.println("tansytrack: " + cause.getMessage());
    return EXIT_UNUSABLE_INPUT;
  }

  /** Passes a new configuration to the event loop; called on the thread that read it. */
  void configurationRead(ConfigFile.LoadedConfig next) {
    eventQueue.add(() -> reconfigure(next.config(), next.channel()));
  }

  /**
   * Applies what can change while tasks are open, and logs which other changes require a restart.
   */
  private void reconfigure(ManagerConfig next, InetSocketAddress channelAddress) {
    if (closing) {
      return;
    }
    manager.counters().increment("configurations.read");
    String requiresRestart = config.nonReloadableDifferences(next);
    Logger.info(
        "new configuration: command channel at {}{}",
        next.channelAddress(),
        requiresRestart.isEmpty() ? "" : "; changes that require a restart: " + requiresRestart);
    config = next.withoutKnownEngines();
    manager.updateMaxDescriptors(next.maxDescriptors());
    channel.moveTo(channelAddress, next.knownEngines());
  }

  /** Parses and resolves an address of the form host:port. */
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
      // reported below
    }
    throw new ProtocolException("'" + text + "' is not an address with a port");
  }

  /** Runs the event loop until shutdown is complete, then closes all resources. */
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

  /** Returns the number of tasks that ended as handled. */
  long tasksHandled() {
    return manager.counters().get("tasks.handled");
  }

  /** Returns the number of open file descriptors of sockets. */
  int openDescriptors() {
    return sockets.openConnections();
  }

  /** Runs one iteration of the event loop: waits, processes events and timers, then decides. */
  private void runOnce() throws InterruptedException {
    timers.now(clock.getAsLong());
    long maxWaitNanos = timers.nanosUntilNext(MAX_WAIT_NANOS);
    Runnable event = eventQueue.poll(maxWaitNanos, TimeUnit.NANOSECONDS);
    clock.slew();
    timers.advanceAfterSleep(clock.getAsLong(), maxWaitNanos);
    for (int i = 0; event != null && i < MAX_EVENTS_PER_ITERATION; i++) {
      event.run();
      event = eventQueue.poll();
    }
    if (event != null) {
      event.run();
    }
    timers.runDue();
    manager.processPending();
  }

  /** Begins shutdown; may be called on any thread. */
  void terminate() {
    eventQueue.add(this::beginShutdown);
  }

  /** Runs as the shutdown hook for SIGTERM: the process ends when it returns. */
  private void terminateAndWait() {
    terminate();
    try {
      finished.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Begins shutdown: new tasks are accepted for a while, and are served or rejected as the decision
   * code chooses.
   */
  private void beginShutdown() {
    if (stopping) {
      return;
    }
    long longestDeadline =
        config.settings().queryClasses().stream()
            .mapToLong(QueryClass::deadlineNanos)
            .max()
            .orElse(0);
    long killAtNanos =
        timers.now()
            + Math.min(longestDeadline, MAX_DEADLINE_BEFORE_KILL_NANOS)
            + KILL_MARGIN_NANOS;
    Event.info(
        "ending",
        "shutting down; answers are delivered for "
            + (killAtNanos - timers.now()) / NANOS_PER_MS
            + " ms more",
        "for_ms",
        (killAtNanos - timers.now()) / NANOS_PER_MS);
    stopping = true;
    peerManagers.markLeaving();
    manager.beginShutdown(killAtNanos);
    timers.schedule(
        Math.min(timers.now() + ACCEPT_AFTER_SIGTERM_NANOS, killAtNanos - FINAL_ANSWERS_TIME_NANOS),
        () -> {
          sockets.stopListening();
          closeWhenIdle(killAtNanos);
        });
  }

  /**
   * Closes the sessions, and then ends the loop, when all requests are answered or the timers'
   * clock has passed {@code killAtNanos}.
   */
  private void closeWhenIdle(long killAtNanos) {
    boolean timedOut = timers.now() > killAtNanos;
    if (timedOut || manager.idle()) {
      closing = true;
      // Cancellations are still sent to engines until the loop stops.
      channel.close();
      manager.close();
      stopped = sockets.openConnections() == 0 || timers.now() > killAtNanos + KILL_MARGIN_NANOS;
    }
    timers.schedule(timers.now() + IDLE_CHECK_INTERVAL_NANOS, () -> closeWhenIdle(killAtNanos));
  }

  private void logCounters() {
    StringBuilder line = new StringBuilder();
    List<Object> pairs = new ArrayList<>();
    for (Map.Entry<String, Long> counter : manager.counters().asMap().entrySet()) {
      line.append(' ').append(counter.getKey()).append('=').append(counter.getValue());
      pairs.addAll(List.of(counter.getKey(), counter.getValue()));
    }
    Event.info("counters", "counters:" + line, pairs.toArray());
  }
}
