package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import tansytrack.Decide;
import tansytrack.settings.ManagerConfig;
import tansytrack.wire.Json;
import tansytrack.wire.MemoryBudget;
import tansytrack.wire.ProtocolException;

/**
 * Starts a workload manager on loopback sockets before each test, between simulated clients, an
 * engine and the command channel, and stops it after the test with no socket left open.
 */
abstract class ServiceFixture {

  /** Timeout in milliseconds, which is reached only in failing tests. */
  static final int TIMEOUT_MS = 60_000;

  @TempDir Path folder;
  final StatementServer engine = new StatementServer();
  RunningManager running;
  Service service;
  InetSocketAddress address;

  /** A manager that listens, and the thread of its event loop. */
  static final class RunningManager {
    final Service service;
    final InetSocketAddress address;
    private final Thread loop;
    private volatile Throwable failure;

    RunningManager(String config) throws IOException, ProtocolException {
      this(config, MemoryBudget.limitByHeap());
    }

    /** Starts a manager with a given bound on the memory for clients and from engines, in bytes. */
    RunningManager(String config, long memoryLimit) throws IOException, ProtocolException {
      service = new Service(parse(config), Decide::new, Service.OptionalFeatures.NONE, memoryLimit);
      address = service.listen();
      loop =
          new Thread(
              () -> {
                try {
                  service.run();
                } catch (Throwable e) {
                  failure = e;
                }
              });
      loop.start();
    }

    /** Stops the manager, and checks that it ended without a failure and closed every socket. */
    void stop() throws InterruptedException {
      service.terminate();
      loop.join(TIMEOUT_MS);
      assertThat(failure).isNull();
      assertThat(loop.isAlive()).isFalse();
      assertThat(service.openDescriptors()).isZero();
    }
  }

  String config() {
    return config(engine.address());
  }

  static String config(String engine) {
    return "{'name':'m','listen':'127.0.0.1:0','seed':'8c1f30d27a5be964',"
        + "'limits':{'sockets':256},'channel':'"
        + engine
        + "','known':{'cursor':1,'cmds':["
        + engineEvent(1, "e", engine, "ready")
        + "]},'settings':{'siblings':1,'skus':['k'],'extra':{'cpu_of_kind':[4],"
        + "'memory_by_kind_mb':[1000],"
        + "'memory_heeded':true,'ranks_heeded':true},'grades':[{'name':'safe',"
        + "'repeat':'idempotent',"
        + "'objective_ms':100,'deadline_ms':300,'worth':1},{'name':'once','repeat':'at_most_once',"
        + "'objective_ms':100,'deadline_ms':300,'worth':1,'serial_by_key':true}],"
        + "'tenants':[{'name':'a',"
        + "'portion':1}],'policy_limits':{'cancel':true,'max_attempts':2,'connect_timeout_ms':5000,"
        + "'conn_idle_ms':30000,'retry_after':true,'max_retry_after_ms':500},"
        + "'rules':{'turn_gap_ms':10}}}";
  }

  /** An event of the command channel that lists one engine; the first one is a complete list. */
  static String engineEvent(int number, String id, String address, String phase) {
    return "{'cursor':"
        + number
        + ",'nodes':{'revision':"
        + number
        + ",'complete':"
        + (number == 1)
        + ",'members':[{'id':'"
        + id
        + "','host_port':'"
        + address
        + "','phase':'"
        + phase
        + "','flavor':'k','up_since_ms':0}]}}";
  }

  static ManagerConfig parse(String config) throws ProtocolException {
    return ManagerConfig.fromJson(
        Json.parse(config.replace('\'', '"').getBytes(StandardCharsets.UTF_8)));
  }

  @BeforeEach
  void start() throws IOException, ProtocolException {
    start(config());
  }

  void start(String config) throws IOException, ProtocolException {
    running = new RunningManager(config);
    service = running.service;
    address = running.address;
  }

  @AfterEach
  void stop() throws IOException, InterruptedException {
    stopManager();
    engine.close();
  }

  void stopManager() throws InterruptedException {
    running.stop();
  }
}
