package tansytrack.wire;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One bound on the memory that is held for clients and from engines, over all connections: large
 * messages and statements, results that are being fetched or written, large responses. What does
 * not fit waits in order, or is given up by whoever needs it. All methods run on the event loop's
 * thread.
 */
public final class MemoryBudget {

  /** SQLSTATE out_of_memory, of the class that promises that the statement has not run. */
  public static final String SQLSTATE_OUT_OF_MEMORY = "53200";

  /** What memory is held for. */
  public enum Purpose {
    /** Messages of clients, up to a half of the budget, so that results can always be fetched. */
    MESSAGE(2),
    /** Results, from their first page until the client's socket has taken the last row. */
    RESULT(1);

    private final int divisor;

    Purpose(int divisor) {
      this.divisor = divisor;
    }
  }

  // The rest of the heap is for what exists once a process or a connection, and for garbage.
  private static final int HEAP_DIVISOR = 3;

  private final long limit;
  private final Consumer<Runnable> eventLoop;
  private final Map<Purpose, Deque<Request>> waiting = new EnumMap<>(Purpose.class);
  private long held;
  private long mostHeld;

  /**
   * Creates a budget.
   *
   * @param limit the bound in bytes
   * @param eventLoop runs the actions of requests that had to wait
   */
  public MemoryBudget(long limit, Consumer<Runnable> eventLoop) {
    this.limit = limit;
    this.eventLoop = eventLoop;
    for (Purpose purpose : Purpose.values()) {
      waiting.put(purpose, new ArrayDeque<>());
    }
  }

  /** Returns the bound that follows from the heap of this process, in bytes. */
  public static long limitByHeap() {
    return Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
  }

  /** Memory that is held until it is released. */
  public final class Reservation {
    private long bytes;

    private Reservation(long bytes) {
      this.bytes = bytes;
    }

    /** Holds at least the given number of bytes from now on, also beyond the bound. */
    public void growTo(long newBytes) {
      if (newBytes > bytes) {
        take(newBytes - bytes);
        bytes = newBytes;
      }
    }

    /** Gives the memory back; has no effect a second time. */
    public void release() {
      long released = bytes;
      bytes = 0;
      give(released);
    }
  }

  /** A request for memory that waits for its turn. */
  public final class Request {
    private final Purpose purpose;
    private final long bytes;
    private final Consumer<Reservation> whenGranted;
    private Reservation granted;
    private boolean cancelled;

    private Request(Purpose purpose, long bytes, Consumer<Reservation> whenGranted) {
      this.purpose = purpose;
      this.bytes = bytes;
      this.whenGranted = whenGranted;
    }

    /** Withdraws the request; has no effect once its action has run. */
    public void cancel() {
      if (cancelled) {
        return;
      }
      cancelled = true;
      if (granted == null) {
        waiting.get(purpose).remove(this);
        grantWaiting();
      } else {
        granted.release();
      }
    }

    private void deliver() {
      if (!cancelled) {
        cancelled = true;
        whenGranted.accept(granted);
      }
    }
  }

  /** Reserves memory; null if it does not fit, or if others wait for it. */
  public Reservation tryReserve(Purpose purpose, long bytes) {
    long wanted = Math.min(bytes, limit / purpose.divisor);
    if (!waiting.get(purpose).isEmpty() || !fits(purpose, wanted)) {
      return null;
    }
    take(wanted);
    return new Reservation(wanted);
  }

  /** Requests memory; the action gets it in the order of the requests, on the event loop. */
  public Request reserve(Purpose purpose, long bytes, Consumer<Reservation> whenGranted) {
    Request request = new Request(purpose, Math.min(bytes, limit / purpose.divisor), whenGranted);
    waiting.get(purpose).add(request);
    grantWaiting();
    return request;
  }

  /** Takes bytes if they fit, to be given back by {@link #give}. */
  boolean tryTake(long bytes) {
    if (!fits(Purpose.RESULT, bytes)) {
      return false;
    }
    take(bytes);
    return true;
  }

  /** Gives back bytes. */
  void give(long bytes) {
    held -= bytes;
    grantWaiting();
  }

  private void take(long bytes) {
    held += bytes;
    mostHeld = Math.max(mostHeld, held);
  }

  private boolean fits(Purpose purpose, long bytes) {
    return held + bytes <= limit / purpose.divisor;
  }

  private void grantWaiting() {
    for (Purpose purpose : Purpose.values()) {
      Deque<Request> queue = waiting.get(purpose);
      while (!queue.isEmpty() && fits(purpose, queue.peek().bytes)) {
        Request request = queue.poll();
        take(request.bytes);
        request.granted = new Reservation(request.bytes);
        eventLoop.accept(request::deliver);
      }
    }
  }

  /** Returns the bound in bytes. */
  public long limit() {
    return limit;
  }

  /** Returns the number of bytes that are held. */
  public long held() {
    return held;
  }

  /** Returns the greatest number of bytes held so far. */
  public long mostHeld() {
    return mostHeld;
  }

  /** Returns the number of requests that wait. */
  public int waiting() {
    return waiting.values().stream().mapToInt(Deque::size).sum();
  }
}
