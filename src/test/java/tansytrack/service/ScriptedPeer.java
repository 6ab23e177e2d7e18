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
 * An engine or a command channel on loopback that is controlled by the test, and answers nothing by
 * itself.
 */
final class ScriptedPeer implements AutoCloseable {

  private final List<Socket> open = new CopyOnWriteArrayList<>();
  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
  private final InetSocketAddress at;
  private volatile ServerSocket socket;
  private volatile boolean cut;

  /** A request that was received completely, and the connection for its response. */
  record Call(Socket on, String text) {
    /** Sends the response. */
    Call answer(String with) throws IOException {
      on.getOutputStream().write(with.getBytes(StandardCharsets.UTF_8));
      return this;
    }

    /** Sends the response, and closes the connection after it. */
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

  /** Accepts connections from now on. */
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
      // the server socket was closed
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
      // the connection was closed
    }
  }

  /**
   * Fills the accept queue, so that new connections are not established from now on; established
   * ones stay open.
   */
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

  /** Refuses new connections from now on; established ones stay open. */
  void refusing() throws IOException {
    socket.close();
  }

  /** Listens and accepts connections again, at the same address. */
  void listening() throws IOException {
    ServerSocket again = new ServerSocket();
    again.setReuseAddress(true);
    again.bind(at, 1);
    socket = again;
    accepting();
  }

  /** Simulates a crash of the process: every connection is reset, new ones are refused. */
  void die() throws IOException {
    refusing();
    for (Socket one : accepted) {
      one.setSoLinger(true, 0);
      one.close();
    }
  }

  /** Returns the next request, or null if none arrives in that time. */
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
