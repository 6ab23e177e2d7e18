package tansytrack.service;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * An engine or a channel on loopback that does only what the test says, and answers nothing by
 * itself.
 */
final class ScriptedPeer implements AutoCloseable {

  private final List<Socket> open = new CopyOnWriteArrayList<>();
  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
  private final InetSocketAddress at;
  private volatile ServerSocket socket;
  private volatile boolean cut;

  /** A call that has come whole, and the connection that it may be answered on. */
  record Call(Socket on, String text) {
    Call answer(String with) throws IOException {
      on.getOutputStream().write(with.getBytes(StandardCharsets.UTF_8));
      return this;
    }

    /** Answers, and ends the connection behind the answer. */
    void answerLast(String with) throws IOException {
      answer(with);
      on.close();
    }
  }

  ScriptedPeer() throws IOException {
    socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    at = (InetSocketAddress) socket.getLocalSocketAddress();
  }

  InetSocketAddress at() {
    return at;
  }

  String address() {
    return at.getHostString() + ":" + at.getPort();
  }

  /** From now on, or again, connections to it come up. */
  ScriptedPeer accepting() {
    cut = false;
    ServerSocket from = socket;
    new Thread(() -> accept(from)).start();
    return this;
  }

  private void accept(ServerSocket from) {
    try {
      while (!cut) {
        Socket one = from.accept();
        open.add(one);
        accepted.add(one);
        new Thread(() -> serve(one)).start();
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void serve(Socket one) {
    try {
      DataInputStream in = new DataInputStream(one.getInputStream());
      while (true) {
        String head = Rehearsal.readHead(in);
        in.skipNBytes(Rehearsal.contentLength(head));
        calls.add(new Call(one, head.substring(0, head.indexOf(" HTTP"))));
      }
    } catch (IOException e) {
      // gone
    }
  }

  /** From now on no connection to it comes up; those that are up stay so. */
  ScriptedPeer full() throws IOException {
    cut = true;
    try {
      while (true) {
        Socket one = new Socket();
        open.add(one);
        one.connect(at, 300);
      }
    } catch (SocketTimeoutException e) {
      return this;
    }
  }

  /** From now on new connections are refused; those that are up stay so. */
  void refusing() throws IOException {
    socket.close();
  }

  /** It accepts connections again, where it did before. */
  void listening() throws IOException {
    ServerSocket again = new ServerSocket();
    again.setReuseAddress(true);
    again.bind(at, 1);
    socket = again;
    accepting();
  }

  /** Its process dies: every connection is reset, new ones are refused. */
  void die() throws IOException {
    refusing();
    for (Socket one : accepted) {
      one.setSoLinger(true, 0);
      one.close();
    }
  }

  /** The next call, or null when none comes in that time. */
  Call next(long withinMs) throws InterruptedException {
    return calls.poll(withinMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() throws IOException {
    socket.close();
    for (Socket one : open) {
      one.close();
    }
  }
}
