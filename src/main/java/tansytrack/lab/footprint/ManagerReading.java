package tansytrack.lab.footprint;

import java.io.IOException;

/** Resource usage and command channel bytes of a manager up to one moment. */
record ManagerReading(ProcessFigures process, long bytesUp, long bytesDown) {

  private static final double NANOS_PER_SECOND = 1e9;

  /** Reads the current values of a manager. */
  static ManagerReading take(MeasuredManager manager) throws IOException {
    CountingChannel channel = manager.channel();
    return new ManagerReading(
        manager.processFigures(), channel.bytesReceived(), channel.bytesSent());
  }

  double bytesUpPerSecondSince(ManagerReading earlier) {
    return (bytesUp - earlier.bytesUp) / secondsSince(earlier);
  }

  double bytesDownPerSecondSince(ManagerReading earlier) {
    return (bytesDown - earlier.bytesDown) / secondsSince(earlier);
  }

  double coreShareSince(ManagerReading earlier) {
    return process.coreShareSince(earlier.process);
  }

  private double secondsSince(ManagerReading earlier) {
    return (process.readAtNanos() - earlier.process.readAtNanos()) / NANOS_PER_SECOND;
  }
}
