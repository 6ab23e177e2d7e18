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

  private static final double MIB = 1024.0 * 1024;
  private static final double PART_OF_MACHINE = 0.5;

  private ScaleMemory() {}

  /** Half of the machine's memory, in bytes. */
  static double limit() {
    OperatingSystemMXBean machine =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return machine.getTotalMemorySize() * PART_OF_MACHINE;
  }

  /** Refuses a plan that needs more than that many bytes, or than this process may take. */
  static void checked(ScalePlan plan, ModuleFactory factory, double limit, double processLimit) {
    String sizes = plan.managers() + " managers x " + plan.engines() + " engines";
    double least = MemoryEstimate.bytes(plan, 0);
    refused(sizes, 0, least, limit);
    double pairs = SubsetSize.enginesPerManager(plan, factory);
    double need = MemoryEstimate.bytes(plan, pairs);
    refused(sizes, pairs, need, limit);
    if (need > processLimit) {
      throw new InvalidInputException(
          sizes
              + ": need "
              + mib(need)
              + " MiB of heap, this process may take "
              + mib(processLimit)
              + "; start it with java -Xmx"
              + mib(need)
              + "m");
    }
  }

  private static void refused(String sizes, double pairs, double need, double limit) {
    if (need > limit) {
      throw new InvalidInputException(
          String.format(
              Locale.ROOT,
              "--managers, --engines: '%s' need %s MiB (%.0f engines held by a manager,"
                  + " %.0f bytes a pair); allowed: half of this machine's memory, %s MiB",
              sizes,
              mib(need),
              pairs,
              MemoryEstimate.BYTES_PER_PAIR,
              mib(limit)));
    }
  }

  private static String mib(double bytes) {
    return Long.toString((long) Math.ceil(bytes / MIB));
  }
}
