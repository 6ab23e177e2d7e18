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
 * @param peakResidentKb peak resident memory so far (VmHWM)
 * @param cpuTime CPU time of all threads since the start of the process
 * @param readAtNanos time of the reading, by System.nanoTime
 */
record ProcessFigures(long residentKb, long peakResidentKb, Duration cpuTime, long readAtNanos) {

  private static final String RESIDENT_FIELD = "VmRSS:";
  private static final String PEAK_RESIDENT_FIELD = "VmHWM:";

  /** Reads memory from /proc/PID/status, and CPU time through the JDK (/proc/PID/stat). */
  static ProcessFigures read(ProcessHandle process) throws IOException {
    Path status = Path.of("/proc", Long.toString(process.pid()), "status");
    Duration cpuTime =
        process
            .info()
            .totalCpuDuration()
            .orElseThrow(() -> new IOException("process " + process.pid() + " has ended"));
    return parse(Files.readAllLines(status, StandardCharsets.UTF_8), cpuTime, System.nanoTime());
  }

  /** Parses the lines of a status file. */
  static ProcessFigures parse(List<String> status, Duration cpuTime, long readAtNanos)
      throws IOException {
    return new ProcessFigures(
        kilobytes(status, RESIDENT_FIELD),
        kilobytes(status, PEAK_RESIDENT_FIELD),
        cpuTime,
        readAtNanos);
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
    return cpuTime.minus(earlier.cpuTime).toNanos() / (double) (readAtNanos - earlier.readAtNanos);
  }
}
