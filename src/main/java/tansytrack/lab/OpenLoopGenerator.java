package tansytrack.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import tansytrack.lab.load.Arrival;
import tansytrack.lab.load.ArrivalSchedule;
import tansytrack.lab.load.LatencyStatistics;
import tansytrack.lab.load.RetryBehaviour;
import tansytrack.lab.load.SendDelays;
import tansytrack.lab.proto.LoadGrade;

/**
 * Plays a load on sockets: each arrival is handed to a free connection at its intended time, or to
 * a new one, whatever has become of those before it. What no connection is left for makes the run
 * void.
 */
final class OpenLoopGenerator {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final int SOCKET_TIMEOUT_SLACK_MS =
      2000; // over a client's patience, before a connection is given up

  /** Hears of each try, on the connection's thread; a try without an answer has none. */
  interface Listener {
    Listener NONE =
        new Listener() {
          @Override
          public void taskSubmitted(String id, Arrival one, long waitMs) {}

          @Override
          public void taskAnswered(String id, LabClient.Answer answer) {}

          @Override
          public void taskFailed(String id, long connectedAt) {}
        };

    void taskSubmitted(String id, Arrival one, long waitMs);

    void taskAnswered(String id, LabClient.Answer answer);

    /**
     * The connection that came up then broke; -1: it did not come up, and the task was never taken.
     */
    void taskFailed(String id, long connectedAt);
  }

  private final LoadFile file;
  private final Listener listener;
  private final InetSocketAddress to;
  private final long seed;
  private final LatencyStatistics latencies = new LatencyStatistics();
  private final SendDelays sendDelays;
  private final ArrayDeque<Sender> idleSenders = new ArrayDeque<>();
  private final List<Sender> senders = new ArrayList<>();
  private final Map<String, Long> endCounts = new TreeMap<>();
  private long startNanos;
  private int inFlight; // tasks on their way

  OpenLoopGenerator(LoadFile file, InetSocketAddress to, long seed) {
    this(file, to, seed, Listener.NONE);
  }

  OpenLoopGenerator(LoadFile file, InetSocketAddress to, long seed, Listener watcher) {
    this.listener = watcher;
    this.file = file;
    this.to = to;
    this.seed = seed;
    sendDelays =
        new SendDelays(file.definition.getLateMs() * NANOS_PER_MS, file.definition.getLatePart());
  }

  /** Plays all of it and waits for what is on its way. */
  void run() throws InterruptedException {
    ArrivalSchedule schedule = file.schedule(seed);
    int warm = Math.min(file.definition.getClients().getMostConnections(), 16);
    for (int i = 0; i < warm; i++) {
      idleSenders.add(newSender());
    }
    startNanos = System.nanoTime() + 100 * NANOS_PER_MS;
    while (schedule.hasNext()) {
      Arrival next = schedule.next();
      for (long left = startNanos + next.atNanos() - System.nanoTime();
          left > 0;
          left = startNanos + next.atNanos() - System.nanoTime()) {
        LockSupport.parkNanos(left > 2 * NANOS_PER_MS ? left - NANOS_PER_MS : left / 2);
      }
      Sender by = acquireSender();
      if (by == null) {
        sendDelays.unsent();
      } else {
        by.handoff.put(next);
      }
    }
    synchronized (this) {
      while (inFlight > 0) {
        wait();
      }
    }
    senders.forEach(one -> one.thread.interrupt());
  }

  private synchronized Sender acquireSender() {
    Sender one = idleSenders.pollLast();
    if (one == null && senders.size() < file.definition.getClients().getMostConnections()) {
      one = newSender();
    }
    inFlight += one == null ? 0 : 1;
    return one;
  }

  private Sender newSender() {
    Sender one = new Sender(senders.size());
    senders.add(one);
    one.thread.start();
    return one;
  }

  /** One connection and the thread that uses it. */
  private final class Sender {
    final SynchronousQueue<Arrival> handoff = new SynchronousQueue<>();
    final Thread thread = FakeEngine.daemonThread(this::sendArrivals);
    private final UniformRandomProvider random;
    private LabClient client;
    private long connectedAtNanos = -1;
    private long lastId;

    Sender(int number) {
      random = RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + number);
      lastId = (long) (number + 1) << 32;
    }

    private void sendArrivals() {
      try {
        while (true) {
          Arrival one = handoff.poll(1, TimeUnit.HOURS);
          if (one != null) {
            runTask(one);
            synchronized (OpenLoopGenerator.this) {
              inFlight--;
              idleSenders.add(this);
              OpenLoopGenerator.this.notifyAll();
            }
          }
        }
      } catch (InterruptedException e) {
        closeConnection();
      }
    }

    /** One task with its retries, which are part of it. */
    private void runTask(Arrival one) throws InterruptedException {
      LoadGrade grade = file.queryClass(one.queryClass());
      RetryBehaviour behaviour = file.retryBehaviour(grade);
      long sent = System.nanoTime() - startNanos;
      synchronized (OpenLoopGenerator.this) {
        sendDelays.sent(one.atNanos(), sent);
      }
      String end = "gave up";
      for (int tried = 1; ; tried++) {
        long left =
            grade.getWaitMs() - (System.nanoTime() - startNanos - one.atNanos()) / NANOS_PER_MS;
        LabClient.Answer answer = left <= 0 ? null : attempt(one, left, tried);
        if (answer == null) {
          end = left <= 0 ? "gave up" : "lost";
          break;
        }
        end = answer.code();
        long pause =
            answer.handled()
                ? -1
                : behaviour.retryDelayNanos(
                    answer.code(),
                    answer.text(),
                    tried,
                    System.nanoTime() - startNanos - one.atNanos(),
                    random);
        if (pause < 0) {
          break;
        }
        TimeUnit.NANOSECONDS.sleep(pause);
      }
      long over = System.nanoTime() - startNanos;
      double worth = grade.getEarnings() > 0 ? grade.getEarnings() : 1;
      boolean good =
          end.equals("HANDLED") && over - one.atNanos() <= grade.getPromisedMs() * NANOS_PER_MS;
      synchronized (OpenLoopGenerator.this) {
        latencies.record(one, sent, over, worth, good ? worth : 0);
        endCounts.merge(end, 1L, Long::sum);
      }
    }

    private LabClient.Answer attempt(Arrival one, long waitMs, int tried) {
      String id = String.format("%016x", seed << 48 ^ ++lastId);
      try {
        if (client == null) {
          connectedAtNanos = -1;
          client =
              new LabClient(
                  to, file.queryClass(one.queryClass()).getWaitMs() + SOCKET_TIMEOUT_SLACK_MS);
          connectedAtNanos = System.nanoTime();
        }
        listener.taskSubmitted(id, one, waitMs);
        LabClient.Answer answer =
            client.query(
                "/* class="
                    + one.queryClass()
                    + ",id="
                    + id
                    + ",wait="
                    + waitMs
                    + ",tenant="
                    + one.tenant()
                    + (tried > 1 ? ",retry=1" : "")
                    + ",cost="
                    + String.format(java.util.Locale.ROOT, "%.3f", one.costMs())
                    + ",mb="
                    + Math.round(one.memoryMb())
                    + (one.key() == 0 ? "" : ",key=" + String.format("%016x", one.key()))
                    + " */ SELECT day FROM sales_"
                    + one.dataSet()
                    + ".orders");
        listener.taskAnswered(id, answer);
        return answer;
      } catch (IOException e) {
        listener.taskFailed(id, connectedAtNanos);
        closeConnection();
        return null;
      }
    }

    private void closeConnection() {
      try {
        if (client != null) {
          client.close();
        }
      } catch (IOException e) {
        // it is given up
      }
      client = null;
    }
  }

  synchronized LatencyStatistics latencies() {
    return latencies;
  }

  synchronized SendDelays sendDelays() {
    return sendDelays;
  }

  /** Figures by name; latencies in milliseconds from the intended time. */
  synchronized Map<String, Double> figures() {
    Map<String, Double> figures = new TreeMap<>();
    figures.put("tasks", (double) latencies.tasks());
    figures.put("share", latencies.share());
    figures.put("share.worst_10_s", latencies.worstShare(10));
    for (double percentile : new double[] {50, 90, 99, 100}) {
      figures.put("latency_ms.p" + (int) percentile, latencies.latency(percentile) / 1e6);
      figures.put("service_ms.p" + (int) percentile, latencies.service(percentile) / 1e6);
    }
    latencies
        .groups()
        .forEach(
            (name, window) -> {
              figures.put(name + ".share", window.share());
              figures.put(name + ".latency_ms.p99", window.latency(99) / 1e6);
            });
    endCounts.forEach((end, count) -> figures.put("end." + end, (double) count));
    figures.put("connections", (double) senders.size());
    return figures;
  }
}
