package tansytrack.jmh;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * The decision module alone, in a JVM with the compiler, collector and heap of a running manager:
 * what a task costs with its outcome, and what a sweep costs.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(
    value = 1,
    jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms48m", "-Xmx64m"})
public class DecideBenchmark {

  /** Engines listed. */
  @Param({"20", "100", "400", "1600", "6200"})
  public int engines;

  /** Managers that share them. */
  @Param({"1", "5200"})
  public int managers;

  /** Tasks that wait for the one engine that they may go to. */
  @Param("0")
  public int waiting;

  /** Tenants that they and all others belong to, in turn. */
  @Param("3")
  public int tenants;

  private DecideWorkload workload;

  /** A new module before each iteration: the same state, however many operations went before. */
  @Setup(Level.Iteration)
  public void start() {
    workload = new DecideWorkload(engines, managers, tenants);
    workload.fill(waiting);
  }

  /** A task is taken, decided on and sent; its outcome comes and is decided on. */
  @Benchmark
  public void taskWithOutcome() {
    workload.taskWithOutcome();
  }

  /** One sweep, with what it decides. */
  @Benchmark
  public void sweep() {
    workload.sweep();
  }
}
