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
 * @param mostResidentKb the most that it has held so far (VmHWM)
 * @param processorTime of all its threads since its start
 * @param at when it was read, by System.nanoTime
 */
record ProcessFigures(long residentKb, long mostResidentKb, Duration processorTime, long at) {

  private static final String RESIDENT = "VmRSS:";
  private static final String MOST_RESIDENT = "VmHWM:";

  /** Reads /proc/PID/status, and the processor time of /proc/PID/stat as the JDK reads it. */
  static ProcessFigures of(ProcessHandle process) throws IOException {
    Path status = Path.of("/proc", Long.toString(process.pid()), "status");
    Duration used =
        process
            .info()
            .totalCpuDuration()
            .orElseThrow(() -> new IOException("process " + process.pid() + " has ended"));
    return parsed(Files.readAllLines(status, StandardCharsets.UTF_8), used, System.nanoTime());
  }

  /** From the lines of a status file. */
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
    throw new IOException("no " + name + " in the status of the process");
  }

  /** The part of one core that the process has used since the earlier reading. */
  double coreShareSince(ProcessFigures earlier) {
    return processorTime.minus(earlier.processorTime).toNanos() / (double) (at - earlier.at);
  }
}
