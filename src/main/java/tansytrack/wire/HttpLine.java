package tansytrack.wire;

import java.net.InetSocketAddress;

/** A connection that carries HTTP calls, one at a time. */
public final class HttpLine implements Connection.Owner {

    /** Why no answer will come: the connection was refused, did not come up in time, or broke. */
    public enum Failure { REFUSED, LATE, BROKEN }

    /** Who made the call; one of answered and failed comes, once, unless the call was dropped. */
    public interface Caller {
        void answered(Http.Answer answer);

        /** No answer will come; nothing was written unless the connection broke. */
        void failed(Failure why);

        /** The call has gone out whole. */
        default void written() { }
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
    private Caller caller;

    public HttpLine(Sockets sockets, InetSocketAddress to, Holder holder) {
        this.holder = holder;
        this.to = to;
        host = to.getHostString() + ':' + to.getPort();
        connection = sockets.connect(to, this);
    }

    public InetSocketAddress to() {
        return to;
    }

    public boolean up() {
        return connection.up();
    }

    public void call(String method, String path, String fields, byte[] body, Caller by) {
        caller = by;
        Http.call(connection.out, method, path, host, fields, body);
        connection.flush();
    }

    @Override
    public void heard(long at) throws Junk {
        if (caller == null) {
            throw new Junk("an answer that nobody asked for");
        }
        Http.Answer answer = Http.answer(connection.in);
        if (answer == null) {
            return;
        }
        if (connection.in.size() > 0) {
            throw new Junk("more than one answer");
        }
        Caller to = caller;
        caller = null;
        if (answer.lasts()) {
            holder.free(this);
        } else {
            connection.close();
            holder.lost(this);
        }
        to.answered(answer);
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
            to.failed(wasUp ? Failure.BROKEN : Failure.REFUSED);
        }
    }

    /** Closes it; who made the open call is not told. */
    public void drop() {
        caller = null;
        connection.close();
        holder.lost(this);
    }
}
