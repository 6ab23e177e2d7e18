package tansytrack.lab.footprint;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * Resource usage of a process at one moment, as the operating system reports it.
 *
 * @param residentKb resident memory (VmRSS)
 * @param mostResidentKb peak resident memory so far (VmHWM)
 * @param processorTime CPU time of all threads since the start of the process
 * @param at time of the reading, by System.nanoTime
 */
record ProcessFigures(long residentKb, long mostResidentKb, Duration processorTime, long at) {

  private static final String RESIDENT = "VmRSS:";
  private static final String MOST_RESIDENT = "VmHWM:";

  /** Reads memory from /proc/PID/status, and CPU time through the JDK (/proc/PID/stat). */
  static ProcessFigures of(ProcessHandle process) throws IOException {
    Path status = Path.of("/proc", Long.toString(process.pid()), "status");
    Duration used =
        process
            .info()
            .totalCpuDuration()
            .orElseThrow(() -> new IOException("process " + process.pid() + " has ended"));
    return parsed(Files.readAllLines(status, StandardCharsets.UTF_8), used, System.nanoTime());
  }

  /** Parses the lines of a status file. */
  static ProcessFigures parsed(List<String> status, Duration processorTime, long at)
      throws IOException {
    return new ProcessFigures(
        kilobytes(status, RESIDENT), kilobytes(status, MOST_RESIDENT), processorTime, at);
  }

  private static long kilobytes(List<String> status, String name) throws IOException {
    for (String line : status) {
      if (line.startsWith(name)) {
        return Long.parseLong(line.substring(name.length()).replace("kB", "").strip());
      }
    }
    throw new IOException("no " + name + " in the status file of the process");
  }

  /** The fraction of one core that the process has used since the earlier reading. */
  double coreShareSince(ProcessFigures earlier) {
    return processorTime.minus(earlier.processorTime).toNanos() / (double) (at - earlier.at);
  }
}
