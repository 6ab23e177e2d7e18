import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A workload manager, started with the command `run` of deploy/balancer.toml. */
final class ManagerProcess implements AutoCloseable {
  private final Process process;
  private final Recorder record;
  final InetSocketAddress address;
  final Path log;

  /** Starts it and waits until it has answered an empty query, for 30 s at most. */
  ManagerProcess(Path root, Path temporary, String name, Settings settings, Recorder record)
      throws IOException, InterruptedException {
    this(root, temporary, name, settings, record, "");
  }

  /** Starts it with further options behind the command `run`. */
  ManagerProcess(
      Path root,
      Path temporary,
      String name,
      Settings settings,
      Recorder record,
      String options)
      throws IOException, InterruptedException {
    this.record = record;
    // An address of its own: no port of it is taken by other connections.
    ThreadLocalRandom random = ThreadLocalRandom.current();
    String host =
        "127." + random.nextInt(2, 250) + "." + random.nextInt(250) + "." + random.nextInt(2, 250);
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      port = free.getLocalPort();
    }
    address = new InetSocketAddress(host, port);
    Path config = temporary.resolve(name + ".json");
    Files.writeString(config, settings.json(name, host + ":" + port));
    log = temporary.resolve(name + ".log");
    ProcessBuilder builder =
        new ProcessBuilder(
                "/bin/sh",
                "-c",
                command(root) + options)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .redirectInput(new File("/dev/null"));
    builder.environment().put("ROUTER_NAME", name);
    builder.environment().put("ROUTER_LISTEN", host + ":" + port);
    builder.environment().put("ROUTER_CONFIG", config.toString());
    builder.environment().put("TMPDIR", temporary.toString());
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    long until = System.nanoTime() + 30_000_000_000L;
    while (true) {
      try (Client client = new Client(address, 2000)) {
        client.query("");
        record.line("manager %s is ready, process %d", name, process.pid());
        return;
      } catch (IOException e) {
        if (!process.isAlive() || System.nanoTime() > until) {
          process.destroyForcibly();
          throw new IOException("the manager does not start; its log: " + Files.readString(log));
        }
        Thread.sleep(50);
      }
    }
  }

  private static String command(Path root) throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"").matcher(
            Files.readString(root.resolve("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("deploy/balancer.toml names no command `run`");
    }
    return run.group(1);
  }

  boolean alive() {
    return process.isAlive();
  }

  @Override
  public void close() throws IOException {
    if (!process.isAlive()) {
      record.line("manager had ended with code %d", process.exitValue());
    }
    process.destroy();
    try {
      if (!process.waitFor(6, TimeUnit.SECONDS)) {
        process.destroyForcibly().waitFor();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
    for (String line : Files.readAllLines(log)) {
      record.line("log: %s", line);
    }
  }
}
