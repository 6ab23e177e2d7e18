package tansytrack.lab;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.Locale;
import tansytrack.lab.scale.MemoryEstimate;
import tansytrack.lab.scale.ModuleFactory;
import tansytrack.lab.scale.ScalePlan;
import tansytrack.lab.scale.SubsetSize;
import tansytrack.settings.InvalidInputException;

/** Rejects scale runs that would not fit into the memory of this machine or process. */
final class ScaleMemory {

  private static final double BYTES_PER_MIB = 1024.0 * 1024;
  private static final double MACHINE_MEMORY_FRACTION = 0.5;

  private ScaleMemory() {}

  /** The memory that scale runs may use, in bytes: half of this machine's. */
  static double limitBytes() {
    OperatingSystemMXBean machine =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return machine.getTotalMemorySize() * MACHINE_MEMORY_FRACTION;
  }

  /** Rejects a plan that needs more bytes than the limit or the maximum heap of this process. */
  static void requireMemory(
      ScalePlan plan, ModuleFactory factory, double limit, double processLimit) {
    String sizes = plan.managers() + " managers x " + plan.engines() + " engines";
    double minimum = MemoryEstimate.bytes(plan, 0);
    rejectAbove(sizes, 0, minimum, limit);
    double enginesPerManager = SubsetSize.enginesPerManager(plan, factory);
    double need = MemoryEstimate.bytes(plan, enginesPerManager);
    rejectAbove(sizes, enginesPerManager, need, limit);
    if (need > processLimit) {
      throw new InvalidInputException(
          sizes
              + ": need "
              + toMib(need)
              + " MiB of heap, this process may take "
              + toMib(processLimit)
              + "; start it with java -Xmx"
              + toMib(need)
              + "m");
    }
  }

  private static void rejectAbove(
      String sizes, double enginesPerManager, double need, double limit) {
    if (need > limit) {
      throw new InvalidInputException(
          String.format(
              Locale.ROOT,
              "--managers, --engines: '%s' need %s MiB (%.0f engines held by a manager,"
                  + " %.0f bytes a pair); allowed: half of this machine's memory, %s MiB",
              sizes,
              toMib(need),
              enginesPerManager,
              MemoryEstimate.BYTES_PER_PAIR,
              toMib(limit)));
    }
  }

  private static String toMib(double bytes) {
    return Long.toString((long) Math.ceil(bytes / BYTES_PER_MIB));
  }
}
