package tansytrack.lab;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.Locale;
import tansytrack.lab.scale.MemoryEstimate;
import tansytrack.lab.scale.ModuleFactory;
import tansytrack.lab.scale.ScalePlan;
import tansytrack.lab.scale.SubsetSize;
import tansytrack.settings.InvalidInputException;

/** Refuses scale runs that this machine or this process cannot hold, before they start. */
final class ScaleMemory {

  private static final double BYTES_PER_MIB = 1024.0 * 1024;
  private static final double MACHINE_MEMORY_FRACTION = 0.5;

  private ScaleMemory() {}

  /** Half of the machine's memory, in bytes. */
  static double limitBytes() {
    OperatingSystemMXBean machine =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return machine.getTotalMemorySize() * MACHINE_MEMORY_FRACTION;
  }

  /** Refuses a plan that needs more than that many bytes, or than this process may take. */
  static void requireMemory(
      ScalePlan plan, ModuleFactory factory, double limit, double processLimit) {
    String sizes = plan.managers() + " managers x " + plan.engines() + " engines";
    double least = MemoryEstimate.bytes(plan, 0);
    rejectAbove(sizes, 0, least, limit);
    double pairs = SubsetSize.enginesPerManager(plan, factory);
    double need = MemoryEstimate.bytes(plan, pairs);
    rejectAbove(sizes, pairs, need, limit);
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

  private static void rejectAbove(String sizes, double pairs, double need, double limit) {
    if (need > limit) {
      throw new InvalidInputException(
          String.format(
              Locale.ROOT,
              "--managers, --engines: '%s' need %s MiB (%.0f engines held by a manager,"
                  + " %.0f bytes a pair); allowed: half of this machine's memory, %s MiB",
              sizes,
              toMib(need),
              pairs,
              MemoryEstimate.BYTES_PER_PAIR,
              toMib(limit)));
    }
  }

  private static String toMib(double bytes) {
    return Long.toString((long) Math.ceil(bytes / BYTES_PER_MIB));
  }
}
