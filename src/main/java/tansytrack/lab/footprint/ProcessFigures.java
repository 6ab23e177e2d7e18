package tansytrack.lab.footprint;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * What the machine says of a process at one moment.
 *
 * @param residentKb memory that it holds now (VmRSS)
 * @param peakResidentKb the most that it has held so far (VmHWM)
 * @param cpuTime of all its threads since its start
 * @param readAtNanos when it was read, by System.nanoTime
 */
record ProcessFigures(long residentKb, long peakResidentKb, Duration cpuTime, long readAtNanos) {

  private static final String RESIDENT_FIELD = "VmRSS:";
  private static final String PEAK_RESIDENT_FIELD = "VmHWM:";

  /** Reads /proc/PID/status, and the processor time of /proc/PID/stat as the JDK reads it. */
  static ProcessFigures read(ProcessHandle process) throws IOException {
    Path status = Path.of("/proc", Long.toString(process.pid()), "status");
    Duration cpuTime =
        process
            .info()
            .totalCpuDuration()
            .orElseThrow(() -> new IOException("process " + process.pid() + " has ended"));
    return parse(Files.readAllLines(status, StandardCharsets.UTF_8), cpuTime, System.nanoTime());
  }

  /** From the lines of a status file. */
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
    throw new IOException("no " + name + " in the status of the process");
  }

  /** The part of one core that the process has used since the earlier reading. */
  double coreShareSince(ProcessFigures earlier) {
    return cpuTime.minus(earlier.cpuTime).toNanos() / (double) (readAtNanos - earlier.readAtNanos);
  }
}
