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
import tansytrack.api.Decisions;
import tansytrack.api.Grade;
import tansytrack.api.Settings;
import tansytrack.log.Event;
import tansytrack.settings.Config;
import tansytrack.settings.Unusable;
import tansytrack.state.Manager;
import tansytrack.state.Siblings;
import tansytrack.state.TaskWatch;
import tansytrack.state.Timers;
import tansytrack.wire.Junk;
import tansytrack.wire.Sockets;

/** One workload manager from start to stop, with the event loop that all its parts run in. */
public final class Service {

  private static final long MS = 1_000_000L;
  private static final int UNUSABLE = 2;
  private static final int FAILED = 3;

  /** How long the loop waits for an event at most when no timer is due. */
  private static final long LONGEST_NAP = 1000 * MS;

  /**
   * Events that are processed before timers and decisions run. Large, so that events which arrived
   * in time are not judged as late when the loop lags.
   */
  private static final int MOST_NOTES = 2048;

  /**
   * How long the manager listens after SIGTERM. The platform opens new connections for 0.4 s, and
   * sends requests on open ones for 0.2 s more; the rest allows for the lag of a manager on a
   * fraction of a core, which reads late what arrived in time.
   */
  private static final long COMING = 1000 * MS;

  /** Time before the kill that stays for answers to the requests that arrived last. */
  private static final long LAST_CALL = 100 * MS;

  /**
   * The platform sends SIGKILL after the longest deadline, of which it counts at most this much,
   * and {@link Service#KILL_MARGIN}.
   */
  private static final long LONGEST_TO_KILL = 3000 * MS;

  /** Time between the longest deadline and SIGKILL. */
  private static final long KILL_MARGIN = 700 * MS;

  /** Part of the operating system's message for EADDRINUSE. */
  private static final String IN_USE = "in use";

  /** Time between two attempts to bind the address. */
  private static final long BIND_PAUSE = 50 * MS;

  /** Limit for reading the configuration file and binding the address, together. */
  private static final long START_PATIENCE = 5000 * MS;

  /** How long a start waits for the command channel's first answer. */
  private static final long FIRST_NEWS = 500 * MS;

  /** Time between checks, during shutdown, whether all requests are answered. */
  private static final long POLL = 10 * MS;


  private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private final Clock clock = new Clock();
  private final Timers timers = new Timers();
  private final Sockets sockets = new Sockets(inbox::add, clock);
  private final Manager manager;
  private final Channel channel;
  private final TaskWatch watch;
  private final Siblings siblings;
  private final CountDownLatch ended = new CountDownLatch(1);

  /** The configuration as last read. */
  private Config config;

  private boolean stopping;

  /** Whether the sessions are closed, so that the engine list is no longer needed. */
  private boolean parting;

  private boolean stopped;

  /** Creates the listener to the tasks of one manager. */
  interface WatchMaker {
    WatchMaker NONE = (config, timers, inbox) -> TaskWatch.NONE;

    TaskWatch make(Config config, Timers timers, Consumer<Runnable> inbox);
  }

  /**
   * Creates the link to the other managers. It reports the number of managers to `count`, on any
   * thread.
   */
  interface SiblingsMaker {
    SiblingsMaker NONE = (config, count) -> Siblings.NONE;

    Siblings make(Config config, IntConsumer count);
  }

  /** The features that the operator file switches on. */
  record Extras(WatchMaker watch, SiblingsMaker siblings) {
    static final Extras NONE = new Extras(WatchMaker.NONE, SiblingsMaker.NONE);
  }

  Service(Config config) throws Junk {
    this(config, Decide::new, Extras.NONE);
  }

  Service(Config config, BiFunction<Settings, Actions, Decisions> start, Extras extras)
      throws Junk {
    this.config = config.withoutKnown();
    timers.now(clock.getAsLong());
    watch = extras.watch().make(config, timers, inbox::add);
    siblings = extras.siblings().make(config, count -> inbox.add(() -> this.siblings(count)));
    manager = new Manager(config, timers, sockets, start, watch, siblings);
    channel = new Channel(sockets, timers, address(config.channel()), manager);
    channel.take(config.known());
    manager.turn();
  }

  private void siblings(int count) {
    manager.siblings(count);
  }

  /** Starts to listen, with a single attempt to bind the address. */
  InetSocketAddress listen() throws IOException, Junk {
    return listen(System.nanoTime());
  }

  /**
   * Starts to listen. While the address is in use, because the previous process has not yet
   * released it, binding is retried until `until`, a value of {@link System#nanoTime}. The
   * disadvantage: an address that another process keeps is reported only then.
   */
  InetSocketAddress listen(long until) throws IOException, Junk {
    InetSocketAddress wanted = address(config.listen());
    boolean said = false;
    catchUp();
    while (true) {
      try {
        InetSocketAddress at = sockets.listen(wanted, manager::accepted);
        inbox.add(manager::inquire);
        siblings.serving();
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
        String what = "cannot listen at " + config.listen() + ": " + root.getMessage();
        long left = until - System.nanoTime();
        if (left <= 0 || !(root instanceof BindException) || !what.contains(IN_USE)) {
          throw new IOException(what, e);
        }
        if (!said) {
          said = true;
          Logger.warn("{}; retrying for up to {} ms", what, left / MS);
        }
        ConfigFile.nap(Math.min(BIND_PAUSE, left));
      }
    }
  }

  /**
   * Polls the channel for the events since the file was written, before any client can connect.
   * Otherwise the manager would send to engines that began to drain while this process was
   * starting, which takes a second; that is all the time that the platform allows. The
   * disadvantage: while the channel is unreachable, a start takes longer by {@link
   * Service#FIRST_NEWS}.
   */
  private void catchUp() throws IOException {
    timers.now(clock.getAsLong());
    long until = timers.now() + FIRST_NEWS;
    timers.at(until, () -> {}); // wakes the loop at that time
    channel.ask();
    try {
      while (!channel.current() && timers.now() < until) {
        turn();
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
    long until = System.nanoTime() + START_PATIENCE;
    Service service;
    ConfigurationReload reload;
    try {
      ConfigFile file = new ConfigFile(path);
      // Before all else: SIGHUP ends a JVM that has no handler for it.
      reload = new ConfigurationReload(file);
      if (!SighupHandler.take(reload::signalled)) {
        new ConfigurationFilePoller(path, reload::signalled).start();
      }
      Extras extras = operator == null ? Extras.NONE : Installed.extras(operator);
      service = started(file.read(until), extras);
    } catch (IOException | Unusable e) {
      return unusable(e);
    }
    // Before it listens: without the hook, SIGTERM would end the process at once and cut off
    // clients that have been accepted.
    Runtime.getRuntime().addShutdownHook(new Thread(service::terminated, "stop"));
    try {
      service.listen(until);
      reload.to(service::reread);
    } catch (IOException | Junk e) {
      service.ended.countDown();
      return unusable(e);
    } catch (RuntimeException | Error e) {
      return broken(e);
    }
    try {
      service.run();
    } catch (Throwable e) {
      return broken(e);
    }
    service.ended.countDown();
    return 0;
  }

  /**
   * Halts the process without running its shutdown hooks: after an internal failure the decision
   * code may have received only part of an event, and its decisions are not reliable.
   */
  private static int broken(Throwable why) {
    Logger.error(why, "a failure inside ends the workload manager");
    Runtime.getRuntime().halt(FAILED);
    return FAILED;
  }

  private static Service started(ConfigFile.Whole from, Extras extras) {
    try {
      return new Service(from.config(), Decide::new, extras);
    } catch (Junk e) {
      throw new Unusable(from.from() + ": known: " + e.getMessage());
    }
  }

  /**
   * Checks a configuration: starts as far as possible without a socket, and waits for nothing.
   * Returns exit code 0, or 2 for input that cannot be used.
   */
  public static int check(String path, String operator, PrintStream out) {
    try {
      String installed = operator == null ? "" : Installed.said(operator);
      ConfigFile.Whole from = new ConfigFile(path).readOnce();
      Service service = started(from, Extras.NONE);
      service.sockets.close();
      Config config = from.config();
      out.println(
          config.name()
              + ": "
              + config.settings().grades().size()
              + " query classes, "
              + config.settings().tenants().size()
              + " tenants, "
              + service.manager.engineCount()
              + " engines"
              + installed);
      return 0;
    } catch (IOException | Unusable e) {
      return unusable(e);
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
              + Rehearsal.play(new ConfigFile(path).readOnce().config())
              + " tasks handled");
      return 0;
    } catch (IOException | Junk | Unusable e) {
      return unusable(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return FAILED;
    }
  }

  private static int unusable(Exception why) {
    System.err.println("tansytrack: " + why.getMessage());
    return UNUSABLE;
  }

  /** Passes a new configuration to the event loop; called on the thread that read it. */
  void reread(ConfigFile.Whole next) {
    inbox.add(() -> reconfigure(next.config(), next.channel()));
  }

  /**
   * Applies what can change while tasks are open, and logs which other changes require a restart.
   */
  private void reconfigure(Config next, InetSocketAddress to) {
    if (parting) {
      return;
    }
    manager.counters().add("configurations.read");
    String rest = config.fixedDifference(next);
    Logger.info(
        "new configuration: command channel at {}{}",
        next.channel(),
        rest.isEmpty() ? "" : "; changes that require a restart: " + rest);
    config = next.withoutKnown();
    manager.descriptors(next.mostDescriptors());
    channel.move(to, next.known());
  }

  /** Parses and resolves an address of the form host:port. */
  static InetSocketAddress address(String text) throws Junk {
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
    throw new Junk("'" + text + "' is not an address with a port");
  }

  /** Runs the event loop until shutdown is complete, then closes all resources. */
  void run() throws InterruptedException {
    try {
      while (!stopped) {
        turn();
      }
    } finally {
      watch.close();
      siblings.close();
      sockets.close();
      report();
    }
  }

  /** Returns the number of tasks that ended as handled. */
  long handled() {
    return manager.counters().of("tasks.handled");
  }

  /** Returns the number of open file descriptors of sockets. */
  int descriptors() {
    return sockets.open();
  }

  /** Runs one iteration of the event loop: waits, processes events and timers, then decides. */
  private void turn() throws InterruptedException {
    timers.now(clock.getAsLong());
    long nap = timers.idle(LONGEST_NAP);
    Runnable note = inbox.poll(nap, TimeUnit.NANOSECONDS);
    clock.lead();
    timers.slept(clock.getAsLong(), nap);
    for (int i = 0; note != null && i < MOST_NOTES; i++) {
      note.run();
      note = inbox.poll();
    }
    if (note != null) {
      note.run();
    }
    timers.run();
    manager.turn();
  }

  /** Begins shutdown; may be called on any thread. */
  void terminate() {
    inbox.add(this::stop);
  }

  /** Runs as the shutdown hook for SIGTERM: the process ends when it returns. */
  private void terminated() {
    terminate();
    try {
      ended.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Begins shutdown: new tasks are accepted for a while, and are served or rejected as the decision
   * code chooses.
   */
  private void stop() {
    if (stopping) {
      return;
    }
    long longest = config.settings().grades().stream().mapToLong(Grade::cutOff).max().orElse(0);
    long until = timers.now() + Math.min(longest, LONGEST_TO_KILL) + KILL_MARGIN;
    Event.info(
        "ending",
        "shutting down; answers are accepted for " + (until - timers.now()) / MS + " ms more",
        "for_ms",
        (until - timers.now()) / MS);
    stopping = true;
    siblings.ending();
    manager.stopping(until);
    timers.at(
        Math.min(timers.now() + COMING, until - LAST_CALL),
        () -> {
          sockets.stopListening();
          endWhenIdle(until);
        });
  }

  /** Closes the sessions when all requests are answered or the time is up; ends the loop then. */
  private void endWhenIdle(long until) {
    boolean late = timers.now() > until;
    if (late || manager.idle()) {
      parting = true;
      // Cancellations to engines are still sent after this.
      channel.close();
      manager.close();
      stopped = sockets.open() == 0 || timers.now() > until + KILL_MARGIN;
    }
    timers.at(timers.now() + POLL, () -> endWhenIdle(until));
  }

  private void report() {
    StringBuilder line = new StringBuilder();
    List<Object> pairs = new ArrayList<>();
    for (Map.Entry<String, Long> one : manager.counters().all().entrySet()) {
      line.append(' ').append(one.getKey()).append('=').append(one.getValue());
      pairs.add(one.getKey());
      pairs.add(one.getValue());
    }
    Event.info("counters", "counters:" + line, pairs.toArray());
  }
}
