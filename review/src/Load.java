import java.io.IOException;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** The usual clients of one workload manager: one query at a time on a session. */
final class Load {
  private static final long NANOS_PER_MS = 1_000_000L;

  private record Idle(Client client, long since) {}

  private final ManagerProcess manager;
  private final Recorder record;
  private final ArrayDeque<Idle> idle = new ArrayDeque<>();
  private final Map<String, Integer> answers = new TreeMap<>();
  // When the clients that gave up have sent their cancel requests, in nanoseconds.
  private final Map<String, Long> goneAt = new ConcurrentHashMap<>();
  private final Set<String> answered = new HashSet<>();
  private int open;
  private int sent;
  private int givenUp;
  private volatile boolean stopped;
  // How long a client waits before it gives up, in milliseconds; 0: as long as its request says.
  volatile int patienceMs;

  Load(ManagerProcess manager, Recorder record) {
    this.manager = manager;
    this.record = record;
  }

  static String newId() {
    byte[] id = new byte[8];
    ThreadLocalRandom.current().nextBytes(id);
    return HexFormat.of().formatHex(id);
  }

  /** Returns a statement; the engine stand-ins run it for the given time. */
  static String statement(String queryClass, String id, int waitMs, int runMs, String tenant) {
    return String.format(
        "/* class=%s,id=%s,wait=%d%s,cost=%d.0,mb=64 */ SELECT day, count(*), max(note)"
            + " FROM sales_%d.orders WHERE tag = 'run=%d' GROUP BY day",
        queryClass, id, waitMs, tenant, runMs, Math.abs(id.hashCode()) % 40, runMs);
  }

  /** Sends queries of one class, each at its time, until stop() is called. */
  void steady(String queryClass, double perSecond, int waitMs, int runMs) {
    Threads.start(
        () -> {
          long next = System.nanoTime();
          try {
            while (!stopped) {
              next += (long) (1e9 / perSecond);
              Thread.sleep(Math.max(0, (next - System.nanoTime()) / NANOS_PER_MS));
              synchronized (this) {
                open++;
                sent++;
              }
              Threads.start(() -> ask(newId(), queryClass, waitMs, runMs));
            }
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private void ask(String id, String queryClass, int waitMs, int runMs) {
    try {
      Client client = take();
      record.line("client sends %s %s", id, queryClass);
      if (patienceMs > 0) {
        Threads.start(() -> giveUpLater(client, id));
      }
      Client.Answer answer =
          client.query(
              statement(
                  queryClass,
                  id,
                  waitMs,
                  runMs,
                  // Loads keep an order by key; each has a key of its own here.
                  ",tenant=ernakulam" + (queryClass.equals("load") ? ",key=" + id : "")));
      record.line("client gets %s: %s %s", id, answer.code(), answer.text());
      synchronized (this) {
        answers.merge(answer.code(), 1, Integer::sum);
        answered.add(id);
        if (!goneAt.containsKey(id)) {
          idle.add(new Idle(client, System.nanoTime()));
        }
      }
    } catch (IOException e) {
      record.line("client gets %s: no answer, %s", id, e);
      synchronized (this) {
        answers.merge("none", 1, Integer::sum);
      }
    } finally {
      synchronized (this) {
        open--;
        notifyAll();
      }
    }
  }

  /** Cancels a query that is not answered in time, and closes its session 0.5 s later. */
  private void giveUpLater(Client client, String id) {
    try {
      Thread.sleep(patienceMs);
      synchronized (this) {
        // "impatient = [0, 0.01]": at most 1 in 100 of the requests sent so far.
        if (answered.contains(id) || (givenUp + 1) * 100 > sent) {
          return;
        }
        givenUp++;
        goneAt.put(id, Long.MAX_VALUE);
      }
      client.cancel();
      goneAt.put(id, System.nanoTime());
      record.line("client has cancelled %s", id);
      Thread.sleep(500);
      client.close();
    } catch (IOException | InterruptedException e) {
      record.line("client could not cancel %s: %s", id, e);
    }
  }

  /** Returns how long ago the client of a query has cancelled it, in milliseconds; -1: not. */
  long goneForMs(String id) {
    Long gone = goneAt.get(id);
    return gone == null || gone == Long.MAX_VALUE
        ? -1
        : (System.nanoTime() - gone) / NANOS_PER_MS;
  }

  private Client take() throws IOException {
    while (true) {
      Idle newest;
      synchronized (this) {
        newest = idle.pollLast();
      }
      if (newest == null) {
        return new Client(manager.address, 30_000);
      }
      // "Clients [...] close idle connections after 4 s."
      if (System.nanoTime() - newest.since < 3_500 * NANOS_PER_MS) {
        return newest.client;
      }
      newest.client.close();
    }
  }

  /** Sends no more queries and waits for the answers; returns how often each came. */
  synchronized Map<String, Integer> stop() throws InterruptedException {
    stopped = true;
    while (open > 0) {
      wait(100);
    }
    return answers;
  }
}
