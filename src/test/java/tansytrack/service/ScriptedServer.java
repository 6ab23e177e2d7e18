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
import java.util.concurrent.atomic.AtomicReference;

/**
 * An engine or a command channel on loopback that is controlled by the test. By itself it answers
 * only the request that confirms a result: the first GET of a query behind the result, on the same
 * connection, gets the same response again.
 */
final class ScriptedServer implements AutoCloseable {

  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();
  private final InetSocketAddress socketAddress;
  private volatile ServerSocket socket;
  private volatile boolean acceptingStopped;

  /** A request that was received completely, and the connection for its response. */
  record Request(Socket connection, String text, AtomicReference<String> lastResult) {
    /** Sends the response. */
    Request respond(String response) throws IOException {
      lastResult.set(response.startsWith("HTTP/1.1 200") ? response : null);
      connection.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
      return this;
    }

    /** Sends the response, and closes the connection after it. */
    void respondAndClose(String response) throws IOException {
      respond(response);
      connection.close();
    }
  }

  ScriptedServer() throws IOException {
    socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    socketAddress = (InetSocketAddress) socket.getLocalSocketAddress();
  }

  InetSocketAddress socketAddress() {
    return socketAddress;
  }

  String address() {
    return socketAddress.getHostString() + ":" + socketAddress.getPort();
  }

  /** Accepts connections from now on. */
  ScriptedServer startAccepting() {
    acceptingStopped = false;
    ServerSocket serverSocket = socket;
    new Thread(() -> accept(serverSocket)).start();
    return this;
  }

  private void accept(ServerSocket serverSocket) {
    try {
      while (!acceptingStopped) {
        Socket connection = serverSocket.accept();
        connections.add(connection);
        accepted.add(connection);
        new Thread(() -> serve(connection)).start();
      }
    } catch (IOException e) {
      // the server socket was closed
    }
  }

  private void serve(Socket connection) {
    try {
      DataInputStream in = new DataInputStream(connection.getInputStream());
      AtomicReference<String> lastResult = new AtomicReference<>();
      while (true) {
        String head = Rehearsal.readHead(in);
        in.skipNBytes(Rehearsal.contentLength(head));
        String repeated = lastResult.getAndSet(null);
        if (repeated != null && head.startsWith("GET /o/")) {
          connection.getOutputStream().write(repeated.getBytes(StandardCharsets.UTF_8));
        } else {
          requests.add(
              new Request(connection, head.substring(0, head.indexOf(" HTTP")), lastResult));
        }
      }
    } catch (IOException e) {
      // the connection was closed
    }
  }

  /**
   * Fills the accept queue, so that new connections are not established from now on; established
   * ones stay open.
   */
  ScriptedServer fillAcceptQueue() throws IOException {
    acceptingStopped = true;
    try {
      while (true) {
        Socket connection = new Socket();
        connections.add(connection);
        connection.connect(socketAddress, 300);
      }
    } catch (SocketTimeoutException e) {
      return this;
    }
  }

  /** Refuses new connections from now on; established ones stay open. */
  void refuseConnections() throws IOException {
    socket.close();
  }

  /** Listens and accepts connections again, at the same address. */
  void listenAgain() throws IOException {
    ServerSocket reopened = new ServerSocket();
    reopened.setReuseAddress(true);
    reopened.bind(socketAddress, 1);
    socket = reopened;
    startAccepting();
  }

  /** Simulates a crash of the process: every connection is reset, new ones are refused. */
  void crash() throws IOException {
    refuseConnections();
    for (Socket connection : accepted) {
      connection.setSoLinger(true, 0);
      connection.close();
    }
  }

  /** Returns the next request, or null if none arrives in that time. */
  Request nextRequest(long withinMs) throws InterruptedException {
    return requests.poll(withinMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() throws IOException {
    socket.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
