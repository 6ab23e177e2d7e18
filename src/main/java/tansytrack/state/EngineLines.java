package tansytrack.state;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import tansytrack.wire.Http;
import tansytrack.wire.HttpLine;
import tansytrack.wire.Sockets;

/**
 * The connections to one engine: they belong to its id, as an address can pass to another engine.
 */
final class EngineLines implements HttpLine.Holder {

  static final byte[] NOTHING = new byte[0];
  static final long ANY_TIME = Long.MIN_VALUE;
  private static final int LONGEST =
      1 << 16; // twice a page with its head, and what may come before it
  private static final long REST =
      10_000_000L; // of a connection before its next call: what else belongs
  // to the last answer comes by then
  private static final int TRIES = 4; // of a call that connections break under
  private static final int USUAL = 2; // connections: of thousands of engines few have more

  final String id;
  private final Sockets sockets;
  private final Timers timers;
  private final Limits limits;
  private final Counters counters;
  private final ArrayDeque<Idle> idle = new ArrayDeque<>(USUAL); // the last used at the end
  private final Map<HttpLine, Timers.Timer> coming =
      new IdentityHashMap<>(USUAL); // until up, or given up
  private final Set<HttpLine> lines = Collections.newSetFromMap(new IdentityHashMap<>(USUAL));
  private final ArrayDeque<Runnable> waiting =
      new ArrayDeque<>(USUAL); // for a connection to be free
  private boolean refusing; // the last connection that was tried was refused
  private long refusedAt;
  private long heardAt = ANY_TIME; // the last whole answer to any call
  private boolean unresponsive; // a connection came up since then and stayed silent
  private InetSocketAddress address;
  int forwards; // out, as the connections hold them
  private boolean takes; // ready, as last listed: something new may begin there
  private boolean retired; // gone from the list: what is out ends, nothing is kept
  private long retiredAt;

  /** What bounds connections: times in nanoseconds, and how many descriptors engines may take. */
  static final class Limits {
    final long connectTime;
    final long idleTime;
    int most; // may change with a new configuration

    Limits(long connectTime, long idleTime) {
      this.connectTime = connectTime;
      this.idleTime = idleTime;
    }
  }

  private record Idle(HttpLine line, long since) {}

  EngineLines(String id, Sockets sockets, Timers timers, Limits limits, Counters counters) {
    this.id = id;
    this.sockets = sockets;
    this.timers = timers;
    this.limits = limits;
    this.counters = counters;
  }

  /**
   * Its address, as listed, and whether anything new may begin there; connections to an old address
   * are of no use.
   */
  void listed(InetSocketAddress at, boolean ready) {
    takes = ready;
    retired = false;
    if (!at.equals(address)) {
      dropIdle();
      address = at;
    }
  }

  void retire() {
    takes = false;
    retiredAt = retired ? retiredAt : timers.now();
    retired = true;
    dropIdle();
  }

  /** It has left the list: its machine is gone, or will be within moments. */
  boolean retired() {
    return retired;
  }

  boolean takes() {
    return takes;
  }

  /** It left the list so long ago that the module cannot have it in mind any more. */
  boolean forgotten(long after) {
    return retired && timers.now() - retiredAt > after;
  }

  private void dropIdle() {
    while (!idle.isEmpty()) {
      idle.poll().line.drop();
    }
  }

  /** Closes what the engine would soon close itself: a call must not cross that. */
  void trim() {
    while (!idle.isEmpty() && timers.now() - idle.peek().since > limits.idleTime) {
      idle.poll().line.drop();
    }
  }

  /** A whole answer came from it, to whatever call. */
  void heard() {
    heardAt = timers.now();
    unresponsive = false;
  }

  /** A call on that connection, which is up, was left without an answer for longer than allowed. */
  void unanswered(HttpLine line) {
    unresponsive |= line.cameAt() > heardAt;
  }

  /**
   * Does it accept connections and answer nothing? Then its process may stand still, and with it
   * the clock by which it drops what nobody asks for. A machine that is cut off accepts none.
   */
  boolean unresponsive() {
    return unresponsive;
  }

  /** Is any connection to it up? Then its process lives, or its machine has fallen silent. */
  boolean connected() {
    return lines.stream().anyMatch(HttpLine::up);
  }

  /**
   * Runs a call as soon as there is a connection for it: at once, or, where the engine refuses new
   * connections and some are up, in turn as those become free. Guards against losing touch with
   * what an engine still runs that takes no new connections, as it drains or holds all it can; a
   * call may wait behind others there.
   */
  void whenAvailable(Runnable call) {
    waiting.add(call);
    serveWaiting();
  }

  private void serveWaiting() {
    while (!waiting.isEmpty()) {
      if (refusing && connected()) {
        if (idle.isEmpty()) {
          return; // the next connection that becomes free serves it
        }
        long rests = rests();
        if (rests > 0) {
          timers.at(timers.now() + rests, this::serveWaiting);
          return;
        }
      }
      waiting.poll().run();
    }
  }

  /**
   * The free connection that was used last, of those that have rested and have brought an answer
   * since the given time. Rest counts from the end of a stall: what came on it meanwhile may not
   * have been read yet, and would pass for the answer to the next call.
   */
  private HttpLine rested(long answeredSince) {
    for (Iterator<Idle> last = idle.descendingIterator(); last.hasNext(); ) {
      Idle one = last.next();
      if (one.since >= answeredSince && (rests(one) <= 0 || sockets.open() >= limits.most)) {
        last.remove();
        return one.line;
      }
    }
    return null;
  }

  /**
   * How long a call that can wait should, so that it finds a connection which is free but rests: 0
   * where one has rested or none is free. Guards against a new connection for each further call of
   * a task, right behind the answer to the one before; it costs that call the rest at most.
   */
  long rests() {
    Idle first = idle.peek();
    return first == null ? 0 : Math.max(0, rests(first));
  }

  private long rests(Idle one) {
    return Math.max(one.since, timers.calmSince()) + REST - timers.now();
  }

  /** Makes a call on a free connection or a new one; null where there are no descriptors left. */
  HttpLine call(String method, String path, String fields, byte[] body, HttpLine.Caller by) {
    return call(method, path, fields, body, ANY_TIME, by);
  }

  private HttpLine call(
      String method,
      String path,
      String fields,
      byte[] body,
      long answeredSince,
      HttpLine.Caller by) {
    trim();
    HttpLine line = rested(answeredSince);
    if (line == null) {
      if (sockets.open() >= limits.most) {
        counters.add("calls.no_descriptor");
        return null;
      }
      line = new HttpLine(sockets, address, LONGEST, this);
      lines.add(line);
      counters.add("connections.to_engines");
      HttpLine late = line;
      coming.put(line, timers.at(timers.now() + limits.connectTime, () -> late(late, by)));
    }
    line.call(method, path, fields, body, by);
    return line;
  }

  HttpLine call(String method, String path, HttpLine.Caller by) {
    return call(method, path, "", NOTHING, by);
  }

  /**
   * A call that nobody has to wait for: whatever becomes of it is said once, as whether it has come
   * to the engine: it was answered, or has twice gone out whole on connections that came up for it
   * and stayed up. One that breaks is made again, as a connection may be reset before the call was
   * read, and so is one that stays silent for the time that a connection may take to come up, as a
   * call may never be taken up. Guards against taking the silence of a machine that is cut off for
   * that of one that hangs: its old connections stay open and swallow all, but no new one comes up.
   * Silence counts only while the engine answers nobody; else it is that connection's fault.
   *
   * @param answeredSince of the connections that are open only those are of use that have brought
   *     an answer since, as the engine was silent before
   */
  void aside(String method, String path, byte[] body, long answeredSince, Consumer<Boolean> done) {
    new Aside(method, path, body, answeredSince, done).start();
  }

  private final class Aside implements HttpLine.Caller {
    private final String method;
    private final String path;
    private final byte[] body;
    private final Consumer<Boolean> done;
    private HttpLine line;
    private Timers.Timer timer;
    private final long startedAt = timers.now();
    private long answeredSince;
    private boolean fresh; // the connection came up for this call
    private boolean written;
    private int tries;
    private int silent; // whole calls without a word, on connections that came up for them

    Aside(String method, String path, byte[] body, long answeredSince, Consumer<Boolean> done) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.answeredSince = answeredSince;
      this.done = done;
    }

    void start() {
      whenAvailable(this::call);
    }

    private void call() {
      tries++;
      written = false;
      line = EngineLines.this.call(method, path, "", body, answeredSince, this);
      fresh = line != null && !line.up();
      timer = timers.at(timers.now() + (line == null ? 0 : limits.connectTime), this::late);
    }

    @Override
    public void answered(Http.Answer answer) {
      heard();
      timer.cancel();
      done.accept(true);
    }

    @Override
    public void written() {
      written = true;
    }

    @Override
    public void failed(HttpLine.Failure why) {
      timer.cancel();
      if (tries < TRIES && (why == HttpLine.Failure.BROKEN || why == HttpLine.Failure.UNSENT)) {
        start();
      } else {
        done.accept(false);
      }
    }

    void late() {
      if (line != null) {
        if (line.up()) {
          unanswered(line);
        }
        line.drop();
      }
      silent += written && fresh ? 1 : 0;
      answeredSince = timers.now();
      if (written && silent < 2 && tries < TRIES) {
        start();
      } else {
        done.accept(silent > 1 && heardAt < startedAt);
      }
    }
  }

  private void late(HttpLine line, HttpLine.Caller by) {
    coming.remove(line);
    if (!line.up()) {
      line.drop();
      by.failed(HttpLine.Failure.LATE);
    }
  }

  @Override
  public void free(HttpLine line) {
    forget(line);
    refusing &= line.cameAt() <= refusedAt;
    if (retired || !line.to().equals(address)) {
      line.drop();
    } else {
      idle.add(new Idle(line, timers.now()));
      serveWaiting();
    }
  }

  @Override
  public void lost(HttpLine line) {
    forget(line);
    lines.remove(line);
    idle.removeIf(one -> one.line == line);
    if (line.refused()) {
      refusing = true;
      refusedAt = timers.now();
    }
    if (!waiting.isEmpty()) {
      timers.at(timers.now(), this::serveWaiting); // not within the end of another's call
    }
  }

  private void forget(HttpLine line) {
    Timers.Timer timer = coming.remove(line);
    if (timer != null) {
      timer.cancel();
    }
  }
}
