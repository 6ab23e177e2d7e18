import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What the cases share: the record, managers as processes by the deploy file, free ports, the end of all processes. */
final class Bench implements AutoCloseable {

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;
  private static final long LIMIT_MS = 110_000;

  final Path caseFolder;
  final Path root;
  final Path temp;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final List<Process> processes = new ArrayList<>();

  /** The body of a case: returns the exit code. */
  interface Body {
    int run(Bench bench) throws Exception;
  }

  private Bench(Path caseFolder) throws IOException {
    this.caseFolder = caseFolder;
    root = caseFolder.getParent().getParent();
    temp = Files.createTempDirectory("tansytrack-case");
    record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
  }

  /** Runs a case within its time limit and exits with its code. */
  static void main(String folder, Body body) throws IOException {
    Bench bench = new Bench(Path.of(folder).toAbsolutePath().normalize());
    Runtime.getRuntime().addShutdownHook(new Thread(bench::close));
    Thread watchdog =
        new Thread(
            () -> {
              sleep(LIMIT_MS);
              bench.log("the time limit of the case has passed");
              bench.close();
              Runtime.getRuntime().halt(COULD_NOT_RUN);
            });
    watchdog.setDaemon(true);
    watchdog.start();
    int code;
    try {
      code = body.run(bench);
    } catch (Throwable e) {
      bench.log("the case could not run: " + e);
      e.printStackTrace();
      code = COULD_NOT_RUN;
    }
    String verdict = code == HELD ? "rule held" : code == BROKEN ? "rule broken" : "could not run";
    bench.log("trouble " + (bench.trouble ? "on" : "off") + ", result " + code + ": " + verdict);
    System.out.println("trouble " + (bench.trouble ? "on" : "off") + ": " + verdict);
    bench.close();
    Runtime.getRuntime().halt(code);
  }

  /** Milliseconds since the start of the case. */
  double ms() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  synchronized void log(String line) {
    record.printf("%10.2f  %s%n", ms(), line);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread daemon(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** A free port of a loopback address. */
  static InetSocketAddress freeAddress(String host) throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return new InetSocketAddress(host, free.getLocalPort());
    }
  }

  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ':' + address.getPort();
  }

  /** The configuration of a manager, as the deployment page gives it. */
  static String config(
      String name, InetSocketAddress listen, String channel, String known, int sockets, String settings) {
    return "{\"name\":\"" + name + "\",\"listen\":\"" + text(listen)
        + "\",\"seed\":\"" + Long.toHexString(System.nanoTime() | 1L << 60)
        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
        + "},\"channel\":\"" + channel + "\",\"known\":" + known + ",\"settings\":" + settings + "}";
  }

  /** A manager, started by the command `run` of the deploy file. */
  final class Manager {
    final String name;
    final InetSocketAddress listen;
    final Path config;
    final Path log;
    final String moreArguments;
    Process process;

    Manager(String name, InetSocketAddress listen, String configText, String moreArguments) throws IOException {
      this.name = name;
      this.listen = listen;
      this.moreArguments = moreArguments;
      config = temp.resolve(name + ".json");
      log = caseFolder.resolve("target").resolve(name + ".log");
      Files.createDirectories(log.getParent());
      Files.deleteIfExists(log);
      Files.writeString(config, configText);
    }

    void start() throws IOException {
      Path scratch = Files.createDirectories(temp.resolve(name + "-tmp"));
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run") + moreArguments);
      builder.directory(root.toFile());
      builder.environment().put("ROUTER_CONFIG", config.toString());
      builder.environment().put("ROUTER_NAME", name);
      builder.environment().put("ROUTER_LISTEN", text(listen));
      builder.environment().put("TMPDIR", scratch.toString());
      builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = track(builder.start());
      log("manager " + name + " started, process " + process.pid());
    }

    /** Waits until the manager answers an empty query, for 30 s at most. */
    void awaitReady() throws IOException {
      double until = ms() + 30_000;
      while (true) {
        try (PgClient client = new PgClient(listen, 2000)) {
          client.query("");
          log("manager " + name + " is ready");
          return;
        } catch (IOException e) {
          if (ms() > until || !process.isAlive()) {
            throw new IOException("manager " + name + " does not become ready; see " + log.getFileName(), e);
          }
          sleep(50);
        }
      }
    }

    void signal(String signal) throws IOException, InterruptedException {
      log("SIG" + signal + " to manager " + name);
      Bench.signal(process, signal);
    }
  }

  static void signal(Process process, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Remembers a process, so that it is killed at the end of the case. */
  synchronized Process track(Process process) {
    processes.add(process);
    return process;
  }

  /** A command of the deploy file. */
  String deployCommand(String name) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith(name + " = \"")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    throw new IOException("the deploy file has no command " + name);
  }

  @Override
  public synchronized void close() {
    processes.forEach(Process::destroyForcibly);
    record.flush();
    if (Files.exists(temp)) {
      try (Stream<Path> files = Files.walk(temp)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      } catch (IOException | RuntimeException e) {
        // The temporary folder of the machine is emptied by others.
      }
    }
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
