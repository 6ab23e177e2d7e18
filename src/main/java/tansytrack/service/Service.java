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

/** One workload manager from start to stop, and the one loop that all its parts run in. */
public final class Service {

  private static final long MS = 1_000_000L;
  private static final int UNUSABLE = 2;
  private static final int FAILED = 3;
  private static final long LONGEST_NAP = 1000 * MS; // of the loop, with nothing due
  private static final int MOST_NOTES =
      2048; // taken before timers and decisions have their turn: what came
  // in time must not be judged as late, whatever the lag

  // After SIGTERM, by the platform: new connections for 0.4 s, requests on open ones for 0.2 s
  // more; the rest of COMING
  // is for the lag of a manager on part of a core, which reads late what came in time. SIGKILL
  // after the longest
  // deadline, 3 s of it at most, and 0.7 s more.
  private static final long COMING = 1000 * MS;
  private static final long LAST_CALL =
      100 * MS; // before that, in which those that came last are answered
  private static final long LONGEST_TO_KILL = 3000 * MS;
  private static final long KILL_MARGIN = 700 * MS;
  private static final String IN_USE = "in use"; // the machine's words for EADDRINUSE
  private static final long BIND_PAUSE = 50 * MS;
  private static final long START_PATIENCE =
      5000 * MS; // for the file and the address of the start together
  private static final long FIRST_NEWS = 500 * MS; // what the channel's first answer is waited for
  private static final long POLL = 10 * MS; // between looks whether all is answered

  private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private final Clock clock = new Clock();
  private final Timers timers = new Timers();
  private final Sockets sockets = new Sockets(inbox::add, clock);
  private final Manager manager;
  private final Channel channel;
  private final TaskWatch watch;
  private final Siblings siblings;
  private final CountDownLatch ended = new CountDownLatch(1);
  private Config config; // as last read
  private boolean stopping;
  private boolean parting; // its sessions are closed: it needs no list any more
  private boolean stopped;

  /** Makes what listens to the tasks of one manager. */
  interface WatchMaker {
    WatchMaker NONE = (config, timers, inbox) -> TaskWatch.NONE;

    TaskWatch make(Config config, Timers timers, Consumer<Runnable> inbox);
  }

  /**
   * Makes what keeps in touch with the other managers; how many there are goes to the given one, on
   * any thread.
   */
  interface SiblingsMaker {
    SiblingsMaker NONE = (config, count) -> Siblings.NONE;

    Siblings make(Config config, IntConsumer count);
  }

  /** What the operators' file switches on. */
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

  /** From here on it can decide, so it may answer. */
  InetSocketAddress listen() throws IOException, Junk {
    return listen(System.nanoTime());
  }

  /**
   * Guards against an address that the process before has not yet given back: it is tried again
   * until that time of the steady clock. Harm: an address that is another's for good is said only
   * then.
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
          Logger.warn("{}; tried again for up to {} ms", what, left / MS);
        }
        ConfigFile.nap(Math.min(BIND_PAUSE, left));
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
    long until = timers.now() + FIRST_NEWS;
    timers.at(until, () -> {}); // the loop naps no longer than that
    channel.ask();
    try {
      while (!channel.current() && timers.now() < until) {
        turn();
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
    long until = System.nanoTime() + START_PATIENCE;
    Service service;
    ConfigurationReload reload;
    try {
      ConfigFile file = new ConfigFile(path);
      // Before all else: SIGHUP would end a JVM that has nothing for it.
      reload = new ConfigurationReload(file);
      if (!SighupHandler.take(reload::signalled)) {
        new ConfigurationFilePoller(path, reload::signalled).start();
      }
      Extras extras = operator == null ? Extras.NONE : Installed.extras(operator);
      service = started(file.read(until), extras);
    } catch (IOException | Unusable e) {
      return unusable(e);
    }
    // Before it listens: SIGTERM would end the program at once, with clients that have been
    // accepted.
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

  /** Not swallowed, not waited out: what a half-told module would decide is worth nothing. */
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
   * Starts as far as that goes without a socket, and waits for nothing: 0, or 2 for what cannot be
   * used.
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
              + " service grades, "
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

  /** Rehearses serving on loopback: 0, or 2 for a configuration that cannot be used. */
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

  /** What SIGHUP brought; on the thread that read it. */
  void reread(ConfigFile.Whole next) {
    inbox.add(() -> reconfigure(next.config(), next.channel()));
  }

  /**
   * What can change while tasks are open does; for the rest a line says that it takes a restart.
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
        rest.isEmpty() ? "" : "; takes a restart: " + rest);
    config = next.withoutKnown();
    manager.descriptors(next.mostDescriptors());
    channel.move(to, next.known());
  }

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
      // said below
    }
    throw new Junk("'" + text + "' is not an address with a port");
  }

  /** The loop; it ends some time after it was told to, with all given back. */
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

  long handled() {
    return manager.counters().of("tasks.handled");
  }

  int descriptors() {
    return sockets.open();
  }

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

  void terminate() {
    inbox.add(this::stop);
  }

  /** Runs on the thread that the machine starts for SIGTERM: the program ends when it returns. */
  private void terminated() {
    terminate();
    try {
      ended.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** SIGTERM: tasks come for a while yet, and are served or given back as the module decides. */
  private void stop() {
    if (stopping) {
      return;
    }
    long longest = config.settings().grades().stream().mapToLong(Grade::cutOff).max().orElse(0);
    long until = timers.now() + Math.min(longest, LONGEST_TO_KILL) + KILL_MARGIN;
    Event.info(
        "ending",
        "told to end; answers count for " + (until - timers.now()) / MS + " ms more",
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

  private void endWhenIdle(long until) {
    boolean late = timers.now() > until;
    if (late || manager.idle()) {
      parting = true;
      // What tells engines that nobody waits any more still goes out.
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
