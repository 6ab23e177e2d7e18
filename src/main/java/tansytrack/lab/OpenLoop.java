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
import tansytrack.lab.load.Behaviour;
import tansytrack.lab.load.Latencies;
import tansytrack.lab.load.Punctuality;
import tansytrack.lab.load.Schedule;
import tansytrack.lab.proto.LoadGrade;

/**
 * An open-loop load generator: sends each task at its intended time on an idle or new connection,
 * whether or not earlier tasks have been answered. The run is void if no connection is left for a
 * task.
 */
final class OpenLoop {

  private static final long MS = 1_000_000L;

  // Time beyond a client's timeout after which its connection is closed.
  private static final int SLACK_MS = 2000;

  /** Observes each attempt, on the thread of its connection. */
  interface Watcher {
    Watcher NONE =
        new Watcher() {
          @Override
          public void asking(String id, Arrival arrival, long timeoutMs) {}

          @Override
          public void answered(String id, LabClient.Answer answer) {}

          @Override
          public void failed(String id, long connectedAt) {}
        };

    /** An attempt is sent; the client waits that long for the answer. */
    void asking(String id, Arrival arrival, long timeoutMs);

    /** The answer to an attempt has arrived. */
    void answered(String id, LabClient.Answer answer);

    /**
     * The connection failed before the answer arrived.
     *
     * @param connectedAt when it was established, by System.nanoTime(); -1: it was not, and the task
     *     was not sent
     */
    void failed(String id, long connectedAt);
  }

  private final LoadFile file;
  private final Watcher watcher;
  private final InetSocketAddress to;
  private final long seed;
  private final Latencies latencies = new Latencies();
  private final Punctuality punctuality;
  private final ArrayDeque<Sender> free = new ArrayDeque<>();
  private final List<Sender> all = new ArrayList<>();
  private final Map<String, Long> ends = new TreeMap<>();
  private long start;

  // Tasks that were sent and have not ended.
  private int waiting;

  OpenLoop(LoadFile file, InetSocketAddress to, long seed) {
    this(file, to, seed, Watcher.NONE);
  }

  OpenLoop(LoadFile file, InetSocketAddress to, long seed, Watcher watcher) {
    this.watcher = watcher;
    this.file = file;
    this.to = to;
    this.seed = seed;
    punctuality = new Punctuality(file.load.getLateMs() * MS, file.load.getLatePart());
  }

  /** Sends all tasks and waits until they have ended. */
  void play() throws InterruptedException {
    Schedule schedule = file.schedule(seed);
    int initialConnections = Math.min(file.load.getClients().getMostConnections(), 16);
    for (int i = 0; i < initialConnections; i++) {
      free.add(sender());
    }
    start = System.nanoTime() + 100 * MS;
    while (schedule.hasNext()) {
      Arrival arrival = schedule.next();
      for (long remaining = start + arrival.at() - System.nanoTime();
          remaining > 0;
          remaining = start + arrival.at() - System.nanoTime()) {
        LockSupport.parkNanos(remaining > 2 * MS ? remaining - MS : remaining / 2);
      }
      Sender sender = taken();
      if (sender == null) {
        punctuality.unsent();
      } else {
        sender.work.put(arrival);
      }
    }
    synchronized (this) {
      while (waiting > 0) {
        wait();
      }
    }
    all.forEach(sender -> sender.thread.interrupt());
  }

  private synchronized Sender taken() {
    Sender sender = free.pollLast();
    if (sender == null && all.size() < file.load.getClients().getMostConnections()) {
      sender = sender();
    }
    waiting += sender == null ? 0 : 1;
    return sender;
  }

  private Sender sender() {
    Sender sender = new Sender(all.size());
    all.add(sender);
    sender.thread.start();
    return sender;
  }

  /** One connection and the thread that uses it. */
  private final class Sender {
    final SynchronousQueue<Arrival> work = new SynchronousQueue<>();
    final Thread thread = StandInEngine.thread(this::run);
    private final UniformRandomProvider chance;
    private LabClient client;
    private long connectedAt = -1;
    private long ids;

    Sender(int number) {
      chance = RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + number);
      ids = (long) (number + 1) << 32;
    }

    private void run() {
      try {
        while (true) {
          Arrival arrival = work.poll(1, TimeUnit.HOURS);
          if (arrival != null) {
            play(arrival);
            synchronized (OpenLoop.this) {
              waiting--;
              free.add(this);
              OpenLoop.this.notifyAll();
            }
          }
        }
      } catch (InterruptedException e) {
        drop();
      }
    }

    /** Sends a task and its retries, and records its end. */
    private void play(Arrival arrival) throws InterruptedException {
      LoadGrade queryClass = file.grade(arrival.grade());
      Behaviour behaviour = file.behaviour(queryClass);
      long sent = System.nanoTime() - start;
      synchronized (OpenLoop.this) {
        punctuality.sent(arrival.at(), sent);
      }
      String end = "gave up";
      for (int attempt = 1; ; attempt++) {
        long remainingMs = queryClass.getWaitMs() - (System.nanoTime() - start - arrival.at()) / MS;
        LabClient.Answer answer = remainingMs <= 0 ? null : ask(arrival, remainingMs, attempt);
        if (answer == null) {
          end = remainingMs <= 0 ? "gave up" : "lost";
          break;
        }
        end = answer.code();
        long delayNanos =
            answer.handled()
                ? -1
                : behaviour.pause(
                    answer.code(),
                    answer.text(),
                    attempt,
                    System.nanoTime() - start - arrival.at(),
                    chance);
        if (delayNanos < 0) {
          break;
        }
        TimeUnit.NANOSECONDS.sleep(delayNanos);
      }
      long ended = System.nanoTime() - start;
      double worth = queryClass.getEarnings() > 0 ? queryClass.getEarnings() : 1;
      boolean inTime = end.equals("HANDLED") && ended - arrival.at() <= queryClass.getPromisedMs() * MS;
      synchronized (OpenLoop.this) {
        latencies.over(arrival, sent, ended, worth, inTime ? worth : 0);
        ends.merge(end, 1L, Long::sum);
      }
    }

    private LabClient.Answer ask(Arrival arrival, long timeoutMs, int attempt) {
      String id = String.format("%016x", seed << 48 ^ ++ids);
      try {
        if (client == null) {
          connectedAt = -1;
          client = new LabClient(to, file.grade(arrival.grade()).getWaitMs() + SLACK_MS);
          connectedAt = System.nanoTime();
        }
        watcher.asking(id, arrival, timeoutMs);
        LabClient.Answer answer =
            client.ask(
                "/* class="
                    + arrival.grade()
                    + ",id="
                    + id
                    + ",wait="
                    + timeoutMs
                    + ",tenant="
                    + arrival.tenant()
                    + (attempt > 1 ? ",retry=1" : "")
                    + ",cost="
                    + String.format(java.util.Locale.ROOT, "%.3f", arrival.costMs())
                    + ",mb="
                    + Math.round(arrival.memoryMb())
                    + (arrival.key() == 0 ? "" : ",key=" + String.format("%016x", arrival.key()))
                    + " */ SELECT day FROM sales_"
                    + arrival.dataSet()
                    + ".orders");
        watcher.answered(id, answer);
        return answer;
      } catch (IOException e) {
        watcher.failed(id, connectedAt);
        drop();
        return null;
      }
    }

    private void drop() {
      try {
        if (client != null) {
          client.close();
        }
      } catch (IOException e) {
        // The connection is not used any more.
      }
      client = null;
    }
  }

  synchronized Latencies latencies() {
    return latencies;
  }

  synchronized Punctuality punctuality() {
    return punctuality;
  }

  /** The figures by name; latencies in milliseconds from the intended time of sending. */
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
    ends.forEach((end, count) -> figures.put("end." + end, (double) count));
    figures.put("connections", (double) all.size());
    return figures;
  }
}
