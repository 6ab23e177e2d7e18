package tansytrack.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import tansytrack.lab.proto.Experiment;
import tansytrack.lab.proto.Fault;

/**
 * One run of an experiment on ledgers: manager processes with ledgers on loopback sockets, under
 * load and faults.
 */
final class LedgerRun implements AutoCloseable {

  private static final int CLIENT_TIMEOUT_MS = 4000;

  // Delay of a client before it connects again to a manager that is down.
  private static final int RECONNECT_DELAY_MS = 20;

  // Time that a client allows for its task.
  private static final int TASK_TIMEOUT_MS = 2500;

  private final Experiment experiment;
  private final SplittableRandom random;
  private final List<FakeEngine> engines = new ArrayList<>();
  private final List<ManagerProcess> managers = new ArrayList<>();
  private final FakeCommandChannel channel;
  private final LedgerAudit audit = new LedgerAudit();
  private final AtomicLong submitted = new AtomicLong();
  private final AtomicLong handled = new AtomicLong();
  private final AtomicLong rejected = new AtomicLong();
  private final AtomicLong unanswered = new AtomicLong();
  private long exportsKilled;
  private long managersKilled;
  private volatile boolean stopping;
  private volatile IOException failure;

  LedgerRun(Experiment experiment, long seed, Path folder) throws IOException {
    this.experiment = experiment;
    random = new SplittableRandom(seed);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    channel = new FakeCommandChannel(any);
    StringBuilder members = new StringBuilder();
    for (int i = 0; i < experiment.getEngines(); i++) {
      FakeEngine engine =
          new FakeEngine("e" + i, any, experiment.getLeastWorkMs(), experiment.getSpreadWorkMs());
      engines.add(engine);
      members
          .append(i > 0 ? "," : "")
          .append("{\"id\":\"")
          .append(engine.name())
          .append("\",\"host_port\":\"")
          .append(engine.address())
          .append(
              "\",\"flavor\":\"k\",\"cell\":0,\"phase\":\"ready\",\"size\":8,\"up_since_ms\":0}");
    }
    channel.publish("{\"revision\":1,\"complete\":true,\"members\":[" + members + "]}");
    for (int i = 0; i < experiment.getManagers(); i++) {
      managers.add(
          new ManagerProcess(
              "m" + i,
              folder.resolve("m" + i),
              channel,
              experiment.getForwardsAfterCommit(),
              experiment.getAnswersAfterCommit()));
    }
  }

  /** Runs the experiment and returns its figures by name. */
  Map<String, Double> run() throws IOException, InterruptedException {
    for (ManagerProcess manager : managers) {
      manager.start();
    }
    List<Thread> threads = new ArrayList<>();
    for (int m = 0; m < managers.size(); m++) {
      ManagerProcess manager = managers.get(m);
      for (int c = 0; c < experiment.getClients(); c++) {
        SplittableRandom clientRandom = random.split();
        long firstId = (long) (m + 1) << 40 | (long) (c + 1) << 24;
        threads.add(FakeEngine.daemonThread(() -> runClient(manager, firstId, clientRandom)));
      }
      if (experiment.getExportEveryMs() > 0) {
        threads.add(FakeEngine.daemonThread(() -> runExports(manager)));
      }
    }
    long start = System.nanoTime();
    for (Fault fault : experiment.getFaultsList()) {
      long delayMs =
          (long) fault.getAtMs()
              + (fault.getSpreadMs() > 0 ? random.nextInt(fault.getSpreadMs()) : 0);
      threads.add(FakeEngine.daemonThread(() -> inject(fault, start + delayMs * 1_000_000)));
    }
    threads.forEach(Thread::start);
    Thread.sleep(experiment.getSeconds() * 1000L);
    stopping = true;
    for (Thread thread : threads) {
      thread.join();
    }
    if (failure != null) {
      throw failure;
    }
    endManagers();
    Map<String, Double> figures = audit.figures(managers, engines);
    figures.put("tasks.asked", (double) submitted.get());
    figures.put("tasks.handled", (double) handled.get());
    figures.put("tasks.refused", (double) rejected.get());
    figures.put("tasks.without_answer", (double) unanswered.get());
    figures.put("exports.killed", (double) exportsKilled);
    figures.put("managers.killed", (double) managersKilled);
    return figures;
  }

  /** Stops every manager, then exports what is left of each ledger. */
  private void endManagers() throws IOException, InterruptedException {
    for (ManagerProcess manager : managers) {
      if (!manager.stop()) {
        throw new IOException(manager.name + " did not stop on SIGTERM");
      }
    }
    for (ManagerProcess manager : managers) {
      if (manager.startExport().waitFor() != 0) {
        throw new IOException("the last export of " + manager.name + " failed; see export.log");
      }
    }
  }

  private void runClient(ManagerProcess manager, long firstId, SplittableRandom random) {
    long id = firstId;
    while (!stopping) {
      try (LabClient client = new LabClient(manager.listenAddress, CLIENT_TIMEOUT_MS)) {
        while (!stopping) {
          submitted.incrementAndGet();
          String queryClass = random.nextInt(4) == 0 ? "load" : "query";
          boolean answered = false;
          try {
            LabClient.Answer answer =
                client.query(
                    "/* class="
                        + queryClass
                        + ",id="
                        + String.format("%016x", ++id)
                        + ",wait="
                        + TASK_TIMEOUT_MS
                        + ",tenant=t"
                        + random.nextInt(3)
                        + ",mb=8,cost=10 */ SELECT day FROM sales_"
                        + random.nextInt(20)
                        + ".orders");
            answered = true;
            (answer.handled() ? handled : rejected).incrementAndGet();
          } finally {
            unanswered.addAndGet(answered ? 0 : 1);
          }
        }
      } catch (IOException e) {
        sleep(RECONNECT_DELAY_MS);
      }
    }
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void runExports(ManagerProcess manager) {
    while (!stopping) {
      sleep(experiment.getExportEveryMs());
      try {
        manager.startExport().waitFor();
        audit.inspectBatches(managers);
      } catch (IOException e) {
        failure = e;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void inject(Fault fault, long atNanos) {
    sleep(Math.max(0, (atNanos - System.nanoTime()) / 1_000_000));
    ManagerProcess manager = managers.get(fault.getManager());
    try {
      if (fault.getKind() == Fault.Kind.KILL_MANAGER) {
        // Waits until an earlier kill of this manager has started it again.
        synchronized (manager) {
          manager.kill();
          sleep(fault.getForMs());
          manager.start();
        }
        synchronized (this) {
          managersKilled++;
        }
      } else {
        Process export = manager.startExport();
        sleep(
            fault.getForMs()
                + (fault.getSpreadMs() > 0 ? atNanos / 1000 % fault.getSpreadMs() : 0));
        boolean running = export.isAlive();
        export.destroyForcibly().waitFor();
        synchronized (this) {
          exportsKilled += running ? 1 : 0;
        }
      }
    } catch (IOException e) {
      failure = e;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    managers.forEach(ManagerProcess::close);
    for (FakeEngine engine : engines) {
      engine.close();
    }
    channel.close();
  }
}
