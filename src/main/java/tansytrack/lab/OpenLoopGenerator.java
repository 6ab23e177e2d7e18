package tansytrack.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
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
 * An open-loop load generator: sends each task at its intended time on an idle or new connection,
 * whether or not earlier tasks have been answered. The run is void if no connection is left for a
 * task.
 */
final class OpenLoopGenerator {

  private static final long NANOS_PER_MS = 1_000_000L;

  // Time beyond a client's timeout after which its connection is closed.
  private static final int SOCKET_TIMEOUT_SLACK_MS = 2000;

  /** Observes each attempt, on the thread of its connection. */
  interface Listener {
    Listener NONE =
        new Listener() {
          @Override
          public void taskSubmitted(String id, Arrival arrival, long timeoutMs) {}

          @Override
          public void taskAnswered(String id, LabClient.Answer answer) {}

          @Override
          public void taskFailed(String id, long connectedAt) {}

          @Override
          public void taskAbandoned(String id) {}
        };

    /** An attempt is sent; the client waits that long for the answer. */
    void taskSubmitted(String id, Arrival arrival, long timeoutMs);

    /** The answer to an attempt has arrived. */
    void taskAnswered(String id, LabClient.Answer answer);

    /**
     * The connection failed before the answer arrived.
     *
     * @param connectedAt when it was established, by System.nanoTime(); -1: it was not, and the
     *     task was not sent
     */
    void taskFailed(String id, long connectedAt);

    /** The client closes its connection without waiting for the answer. */
    void taskAbandoned(String id);
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

  // Tasks that were sent and have not ended.
  private int inFlight;

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

  /** Sends all tasks and waits until they have ended. */
  void run() throws InterruptedException {
    ArrivalSchedule schedule = file.schedule(seed);
    int initialConnections = Math.min(file.definition.getClients().getMostConnections(), 16);
    for (int i = 0; i < initialConnections; i++) {
      idleSenders.add(newSender());
    }
    startNanos = System.nanoTime() + 100 * NANOS_PER_MS;
    while (schedule.hasNext()) {
      Arrival arrival = schedule.next();
      for (long remaining = startNanos + arrival.atNanos() - System.nanoTime();
          remaining > 0;
          remaining = startNanos + arrival.atNanos() - System.nanoTime()) {
        LockSupport.parkNanos(
            remaining > 2 * NANOS_PER_MS ? remaining - NANOS_PER_MS : remaining / 2);
      }
      Sender sender = acquireSender();
      if (sender == null) {
        sendDelays.unsent();
      } else {
        sender.handoff.put(arrival);
      }
    }
    synchronized (this) {
      while (inFlight > 0) {
        wait();
      }
    }
    senders.forEach(sender -> sender.thread.interrupt());
  }

  private synchronized Sender acquireSender() {
    Sender sender = idleSenders.pollLast();
    if (sender == null && senders.size() < file.definition.getClients().getMostConnections()) {
      sender = newSender();
    }
    inFlight += sender == null ? 0 : 1;
    return sender;
  }

  private Sender newSender() {
    Sender sender = new Sender(senders.size());
    senders.add(sender);
    sender.thread.start();
    return sender;
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
          Arrival arrival = handoff.poll(1, TimeUnit.HOURS);
          if (arrival != null) {
            runTask(arrival);
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

    /** Sends a task and its retries, and records its end. */
    private void runTask(Arrival arrival) throws InterruptedException {
      LoadGrade queryClass = file.queryClass(arrival.queryClass());
      RetryBehaviour behaviour = file.retryBehaviour(queryClass);
      long sent = System.nanoTime() - startNanos;
      synchronized (OpenLoopGenerator.this) {
        sendDelays.sent(arrival.atNanos(), sent);
      }
      String end = "gave up";
      for (int attempt = 1; ; attempt++) {
        long remainingMs =
            queryClass.getWaitMs()
                - (System.nanoTime() - startNanos - arrival.atNanos()) / NANOS_PER_MS;
        LabClient.Answer answer = remainingMs <= 0 ? null : attempt(arrival, remainingMs, attempt);
        if (answer == null) {
          end = remainingMs <= 0 ? "gave up" : "lost";
          break;
        }
        end = answer.code();
        long delayNanos =
            answer.handled()
                ? -1
                : behaviour.retryDelayNanos(
                    answer.code(),
                    answer.text(),
                    attempt,
                    System.nanoTime() - startNanos - arrival.atNanos(),
                    random);
        if (delayNanos < 0) {
          break;
        }
        TimeUnit.NANOSECONDS.sleep(delayNanos);
      }
      long ended = System.nanoTime() - startNanos;
      double worth = queryClass.getEarnings() > 0 ? queryClass.getEarnings() : 1;
      boolean inTime =
          end.equals("HANDLED")
              && ended - arrival.atNanos() <= queryClass.getPromisedMs() * NANOS_PER_MS;
      synchronized (OpenLoopGenerator.this) {
        latencies.record(arrival, sent, ended, worth, inTime ? worth : 0);
        endCounts.merge(end, 1L, Long::sum);
      }
    }

    private LabClient.Answer attempt(Arrival arrival, long timeoutMs, int attempt) {
      String id = String.format("%016x", seed << 48 ^ ++lastId);
      double leavePart = file.definition.getClients().getLeavePart();
      boolean leaves = leavePart > 0 && random.nextDouble() < leavePart;
      try {
        if (client == null) {
          connectedAtNanos = -1;
          client = new LabClient(to, socketTimeoutMs(arrival));
          connectedAtNanos = System.nanoTime();
        }
        if (leaves) {
          client.setTimeout(Math.max(1, file.definition.getClients().getLeaveAfterMs()));
        }
        listener.taskSubmitted(id, arrival, timeoutMs);
        LabClient.Answer answer =
            client.query(
                "/* class="
                    + arrival.queryClass()
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
        listener.taskAnswered(id, answer);
        if (leaves) {
          client.setTimeout(socketTimeoutMs(arrival));
        }
        return answer;
      } catch (IOException e) {
        if (leaves && e instanceof SocketTimeoutException) {
          listener.taskAbandoned(id);
        } else {
          listener.taskFailed(id, connectedAtNanos);
        }
        closeConnection();
        return null;
      }
    }

    private int socketTimeoutMs(Arrival arrival) {
      return file.queryClass(arrival.queryClass()).getWaitMs() + SOCKET_TIMEOUT_SLACK_MS;
    }

    private void closeConnection() {
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

  synchronized LatencyStatistics latencies() {
    return latencies;
  }

  synchronized SendDelays sendDelays() {
    return sendDelays;
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
    endCounts.forEach((end, count) -> figures.put("end." + end, (double) count));
    figures.put("connections", (double) senders.size());
    return figures;
  }
}
