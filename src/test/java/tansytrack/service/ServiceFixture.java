package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import tansytrack.settings.ManagerConfig;
import tansytrack.wire.Json;
import tansytrack.wire.ProtocolException;

/**
 * A workload manager on loopback sockets, between stand-ins for clients, an engine and the command
 * channel; started before each test, and ended after it with nothing left open.
 */
abstract class ServiceFixture {

  /** In milliseconds; a verdict never waits for it, unless something is broken. */
  static final int MINUTE = 60_000;

  @TempDir Path folder;
  final StatementServer engine = new StatementServer();
  Running running;
  Service service;
  InetSocketAddress at;

  /** A manager that listens, and the thread that its loop runs on. */
  static final class Running {
    final Service service;
    final InetSocketAddress at;
    private final Thread loop;
    private volatile Throwable failure;

    Running(String config) throws IOException, ProtocolException {
      service = new Service(read(config));
      at = service.listen();
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

    /** Whatever was done to it, it ends when told to, and has given back every connection. */
    void end() throws InterruptedException {
      service.terminate();
      loop.join(MINUTE);
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
        + listed(1, "e", engine, "ready")
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

  static String listed(int number, String id, String address, String phase) {
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

  static ManagerConfig read(String config) throws ProtocolException {
    return ManagerConfig.fromJson(
        Json.parse(config.replace('\'', '"').getBytes(StandardCharsets.UTF_8)));
  }

  @BeforeEach
  void start() throws IOException, ProtocolException {
    start(config());
  }

  void start(String config) throws IOException, ProtocolException {
    running = new Running(config);
    service = running.service;
    at = running.at;
  }

  @AfterEach
  void stop() throws IOException, InterruptedException {
    end();
    engine.close();
  }

  void end() throws InterruptedException {
    running.end();
  }
}
