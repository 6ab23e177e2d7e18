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
 * Measures the decision module alone, in a JVM with the compiler, collector and heap of a running
 * manager: the time of one task with its outcome, and the time of one sweep.
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

  /** The number of listed engines. */
  @Param({"20", "100", "400", "1600", "6200"})
  public int engines;

  /** The number of managers that share the engines. */
  @Param({"1", "5200"})
  public int managers;

  /** The number of tasks that wait for the only engine allowed for them. */
  @Param("0")
  public int waiting;

  /** The number of tenants; tasks are assigned to them in turn. */
  @Param("3")
  public int tenants;

  private DecideWorkload workload;

  /** Creates a new module before each iteration, so that each one starts in the same state. */
  @Setup(Level.Iteration)
  public void start() {
    workload = new DecideWorkload(engines, managers, tenants);
    workload.fillQueue(waiting);
  }

  /** Submits a task, decides, reports its outcome and decides again. */
  @Benchmark
  public void taskWithOutcome() {
    workload.taskWithOutcome();
  }

  /** Runs one sweep with its decisions. */
  @Benchmark
  public void sweep() {
    workload.sweep();
  }
}
