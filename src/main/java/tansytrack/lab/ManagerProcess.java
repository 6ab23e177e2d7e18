package tansytrack.lab;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import tansytrack.lab.proto.EngineForm;

/** A manager as a process, with its files in a folder; it can be killed and started again. */
final class ManagerProcess implements AutoCloseable {

  private static final long START_STOP_TIMEOUT_MS = 20_000;
  private static final String SETTINGS =
      "{\"siblings\":1,\"skus\":[\"k\"],\"extra\":{\"cpu_of_kind\":[8],"
          + "\"memory_by_kind_mb\":[8192],"
          + "\"memory_heeded\":true,\"grant_cap\":0.5,\"ranks_heeded\":true,"
          + "\"tells_cost\":true,\"threads_by_class\":[1,1],"
          + "\"is_load\":[false,false],\"class_waits\":[false,false]},"
          + "\"grades\":[{\"name\":\"query\",\"repeat\":\"idempotent\","
          + "\"objective_ms\":1000,\"deadline_ms\":3000,\"worth\":1},{\"name\":\"load\","
          + "\"repeat\":\"at_most_once\","
          + "\"objective_ms\":1000,\"deadline_ms\":3000,\"worth\":2}],"
          + "\"tenants\":[{\"name\":\"t0\",\"portion\":1},"
          + "{\"name\":\"t1\",\"portion\":2},{\"name\":\"t2\",\"portion\":3}],"
          + "\"policy_limits\":{\"may_probe\":true,\"cancel\":true,"
          + "\"max_attempts\":3,\"connect_timeout_ms\":250,\"conn_idle_ms\":30000,"
          + "\"retry_after\":true,\"max_retry_after_ms\":500},"
          + "\"reporting\":{\"columns\":[\"busy_reqs\"],\"how\":\"pull\"},"
          + "\"rules\":{\"answer_slack_ms\":20,\"drain_grace_ms\":1000}}";

  final String name;
  final Path folder;
  final InetSocketAddress listenAddress;
  private Process process;
  private String jar;
  private int startCount;

  ManagerProcess(
      String name,
      Path folder,
      FakeCommandChannel channel,
      boolean forwardsWait,
      boolean answersWait)
      throws IOException {
    this(
        name,
        folder,
        channel,
        "127.0.0.1",
        "ledger {\n  folder: \""
            + folder.resolve("ledger")
            + "\"\n  forwards: "
            + (forwardsWait ? "AFTER_COMMIT" : "AT_ONCE")
            + "\n  answers: "
            + (answersWait ? "AFTER_COMMIT" : "AT_ONCE")
            + "\n"
            + "  billing { period: DAY rates { per_task: \"0.01\" per_work_second: \"0.5\" } }\n"
            + "}\n");
  }

  /** A manager with that text as its operator file, at a free port of that address. */
  ManagerProcess(String name, Path folder, FakeCommandChannel channel, String host, String operator)
      throws IOException {
    this(name, folder, channel.address(), channel.knownEvents(), host, operator, SETTINGS);
  }

  /** A manager with its own settings and with the command channel at that address. */
  ManagerProcess(
      String name,
      Path folder,
      String channel,
      String known,
      String host,
      String operator,
      String settings)
      throws IOException {
    this.name = name;
    this.folder = Files.createDirectories(folder);
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      listenAddress = new InetSocketAddress(host, free.getLocalPort());
    }
    Files.writeString(
        folder.resolve("config.json"),
        "{\"name\":\""
            + name
            + "\",\"listen\":\""
            + host
            + ':'
            + listenAddress.getPort()
            + "\",\"seed\":\""
            + Integer.toHexString(name.hashCode())
            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"channel\":\""
            + channel
            + "\",\"known\":"
            + known
            + ",\"settings\":"
            + settings
            + '}');
    Files.writeString(operatorFile(), operator);
  }

  /** Settings of a manager in a zone, for that number of managers and engines of that form. */
  static String settings(int managerCount, String zone, EngineForm engine) {
    return SETTINGS
        .replace("\"siblings\":1", "\"siblings\":" + managerCount + ",\"zone\":\"" + zone + '"')
        .replace("\"cpu_of_kind\":[8]", "\"cpu_of_kind\":[" + engine.getCores() + ']')
        .replace("\"columns\":[\"busy_reqs\"]", "\"columns\":[\"busy_reqs\",\"cpu_share\"]")
        .replace("\"worth\":2", "\"worth\":2,\"serial_by_key\":true")
        .replace(
            "\"drain_grace_ms\":1000",
            "\"drain_grace_ms\":1000,\"turn_gap_ms\":300"
                + (engine.getWarmAfterMs() == 0
                    ? ""
                    : ",\"start_capacity\":"
                        + engine.getStartCapacity()
                        + ",\"ramp_time_ms\":"
                        + engine.getWarmAfterMs()
                        + ",\"overload_factor\":"
                        + engine.getMultiple()
                        + ",\"fall_ms\":"
                        + engine.getWindowMs()));
  }

  Path ledgerFolder() {
    return folder.resolve("ledger");
  }

  Path exportFolder() {
    return folder.resolve("out");
  }

  Path operatorFile() {
    return folder.resolve("operator.textproto");
  }

  /** Sets the jar that later starts run from; null: this program. */
  void useJar(String jar) {
    this.jar = jar;
  }

  /** Starts this program with these arguments; its output is appended to a file in the folder. */
  Process startProgram(String log, String... arguments) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-Xmx64m",
                "-cp",
                jar == null ? System.getProperty("java.class.path") : jar,
                "tansytrack.Main"));
    command.addAll(List.of(arguments));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), log)));
    builder.environment().put("ROUTER_CONFIG", folder.resolve("config.json").toString());
    return builder.start();
  }

  /** Starts the manager and waits until it listens. */
  void start() throws IOException, InterruptedException {
    launch();
    awaitListening();
  }

  /** Starts the manager without waiting. */
  void launch() throws IOException {
    String log = "manager-" + ++startCount + ".log";
    // An earlier run in the same folder may have left it.
    Files.deleteIfExists(folder.resolve(log));
    process = startProgram(log, "serve", "--operator", operatorFile().toString());
  }

  /** Waits until the manager listens. */
  void awaitListening() throws IOException, InterruptedException {
    String log = "manager-" + startCount + ".log";
    long deadline = System.nanoTime() + START_STOP_TIMEOUT_MS * 1_000_000;
    while (!Files.readString(folder.resolve(log), StandardCharsets.UTF_8).contains("listens at")) {
      if (!process.isAlive() || System.nanoTime() > deadline) {
        throw new IOException(name + " does not start: " + Files.readString(folder.resolve(log)));
      }
      Thread.sleep(20);
    }
  }

  /** Kills the manager (SIGKILL). */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Sends a signal by its name: STOP or CONT. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", '-' + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** The log lines of all starts. */
  List<String> logLines() throws IOException {
    List<String> lines = new ArrayList<>();
    for (int i = 1; i <= startCount; i++) {
      lines.addAll(
          Files.readAllLines(folder.resolve("manager-" + i + ".log"), StandardCharsets.UTF_8));
    }
    return lines;
  }

  /** Stops the manager (SIGTERM); false if it had to be killed. */
  boolean stop() throws InterruptedException {
    process.destroy();
    if (process.waitFor(START_STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
      return true;
    }
    kill();
    return false;
  }

  /** Starts an export of the ledger. */
  Process startExport() throws IOException {
    return startProgram(
        "export.log",
        "ledger",
        "export",
        "--ledger",
        ledgerFolder().toString(),
        "--to",
        exportFolder().toString());
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
