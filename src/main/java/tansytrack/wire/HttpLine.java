package tansytrack.wire;

import java.net.InetSocketAddress;

/** A connection that carries HTTP calls, one at a time. */
public final class HttpLine implements Connection.Owner {

  /**
   * Why no answer will come: the machine refused the connection; it did not come up in time; it
   * ended before a byte of the call was written; or it broke, or brought what cannot be read, after
   * that.
   */
  public enum Failure {
    REFUSED,
    LATE,
    UNSENT,
    BROKEN
  }

  /** Who made the call; one of answered and failed comes, once, unless the call was dropped. */
  public interface Caller {
    /** Junk: it cannot be used; the connection is closed, and the call counts as broken. */
    void answered(Http.Answer answer) throws Junk;

    /** No answer will come; nothing was written unless the connection broke. */
    void failed(Failure why);

    /** The call has gone out whole. */
    default void written() {}

    /** More of the answer has come, and it is not whole yet. */
    default void part() {}
  }

  /** Who owns the line: told when it is free for the next call, or of no more use. */
  public interface Holder {
    void free(HttpLine line);

    void lost(HttpLine line);
  }

  private final Connection connection;
  private final InetSocketAddress to;
  private final String host;
  private final Holder holder;
  private final Sockets sockets;
  private Caller caller;
  private long calledAt;
  private long leftBefore; // bytes of earlier calls
  private boolean fresh; // no answer has ever begun for the open call

  /** Answers with their heads may take half of the given bytes. */
  public HttpLine(Sockets sockets, InetSocketAddress to, int mostIn, Holder holder) {
    this.sockets = sockets;
    this.holder = holder;
    this.to = to;
    host = to.getHostString() + ':' + to.getPort();
    connection = sockets.connect(to, mostIn, this);
  }

  public InetSocketAddress to() {
    return to;
  }

  Connection connection() {
    return connection;
  }

  public boolean up() {
    return connection.up();
  }

  /** When it came up. */
  public long cameAt() {
    return connection.cameAt();
  }

  /** The machine refused it: nothing listens there, or it takes no more connections. */
  public boolean refused() {
    return connection.refused();
  }

  /**
   * When the open call, or the last one, could leave: as it was made, or once the connection was
   * up.
   */
  public long begunAt() {
    return Math.max(calledAt, connection.cameAt());
  }

  public void call(String method, String path, String fields, byte[] body, Caller by) {
    caller = by;
    calledAt = sockets.time();
    leftBefore = connection.left();
    fresh = true;
    Http.call(connection.out, method, path, host, fields, body);
    connection.flush();
  }

  @Override
  public void heard(long at) throws Junk {
    if (caller == null) {
      throw new Junk("an answer that nobody asked for");
    }
    if (fresh && at < calledAt) {
      throw new Junk("what came before the call");
    }
    fresh = false;
    Http.Answer answer = Http.answer(connection.in);
    if (answer == null) {
      caller.part();
      return;
    }
    // More behind it belongs to no call. A second copy does no harm; anything else may be the rest
    // of an answer whose
    // length was wrong, so that this one is not whole.
    boolean more = connection.in.size() > 0;
    if (more && answer.status() == 200 && connection.in.at(0) != 'H') {
      throw new Junk("more bytes than the length that was told");
    }
    Caller to = caller;
    to.answered(answer);
    caller = null;
    if (!connection.open()) {
      return;
    }
    if (answer.lasts() && !more) {
      holder.free(this);
    } else {
      connection.close();
      holder.lost(this);
    }
  }

  @Override
  public void written() {
    if (caller != null) {
      caller.written();
    }
  }

  @Override
  public void closed(boolean wasUp) {
    Caller to = caller;
    caller = null;
    holder.lost(this);
    if (to != null) {
      to.failed(
          connection.refused()
              ? Failure.REFUSED
              : connection.left() == leftBefore ? Failure.UNSENT : Failure.BROKEN);
    }
  }

  /** Closes it; who made the open call is not told. */
  public void drop() {
    caller = null;
    connection.close();
    holder.lost(this);
  }
}
