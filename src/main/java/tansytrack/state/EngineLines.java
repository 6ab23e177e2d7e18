package tansytrack.state;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import tansytrack.wire.Http;
import tansytrack.wire.HttpLine;
import tansytrack.wire.Sockets;

/**
 * The connections to one engine: they belong to its id, as an address can pass to another engine.
 */
final class EngineLines implements HttpLine.Holder {

  static final byte[] NOTHING = new byte[0];
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

  /**
   * The free connection that was used last, of those that have rested. Rest counts from the end of
   * a stall: what came on it meanwhile may not have been read yet, and would pass for the answer to
   * the next call.
   */
  private HttpLine rested() {
    for (Iterator<Idle> last = idle.descendingIterator(); last.hasNext(); ) {
      Idle one = last.next();
      if (rests(one) <= 0 || sockets.open() >= limits.most) {
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
    return call(method, path, fields, body, false, by);
  }

  private HttpLine call(
      String method, String path, String fields, byte[] body, boolean fresh, HttpLine.Caller by) {
    trim();
    HttpLine line = fresh ? null : rested();
    if (line == null) {
      if (sockets.open() >= limits.most) {
        counters.add("calls.no_descriptor");
        return null;
      }
      line = new HttpLine(sockets, address, LONGEST, this);
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
   *
   * @param fresh no connection that is open already is of use: the engine has been silent on one
   */
  void aside(String method, String path, byte[] body, boolean fresh, Consumer<Boolean> done) {
    new Aside(method, path, body, fresh, done).start();
  }

  private final class Aside implements HttpLine.Caller {
    private final String method;
    private final String path;
    private final byte[] body;
    private final Consumer<Boolean> done;
    private HttpLine line;
    private Timers.Timer timer;
    private boolean fresh;
    private boolean written;
    private int tries;
    private int silent; // whole calls without a word, on connections that came up for them

    Aside(String method, String path, byte[] body, boolean fresh, Consumer<Boolean> done) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.fresh = fresh;
      this.done = done;
    }

    void start() {
      tries++;
      written = false;
      line = call(method, path, "", body, fresh, this);
      fresh |= line != null && !line.up();
      timer = timers.at(timers.now() + (line == null ? 0 : limits.connectTime), this::late);
    }

    @Override
    public void answered(Http.Answer answer) {
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
        line.drop();
      }
      silent += written && fresh ? 1 : 0;
      fresh = true;
      if (written && silent < 2 && tries < TRIES) {
        start();
      } else {
        done.accept(silent > 1);
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
    if (retired || !line.to().equals(address)) {
      line.drop();
    } else {
      idle.add(new Idle(line, timers.now()));
    }
  }

  @Override
  public void lost(HttpLine line) {
    forget(line);
    idle.removeIf(one -> one.line == line);
  }

  private void forget(HttpLine line) {
    Timers.Timer timer = coming.remove(line);
    if (timer != null) {
      timer.cancel();
    }
  }
}
