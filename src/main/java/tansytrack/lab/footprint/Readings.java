package tansytrack.lab.footprint;

import java.io.IOException;

/** Resource usage and command channel bytes of a manager up to one moment. */
record Readings(ProcessFigures process, long bytesUp, long bytesDown) {

  private static final double SECOND = 1e9;

  /** Reads the current values of a manager. */
  static Readings of(MeasuredManager manager) throws IOException {
    CountingChannel channel = manager.channel();
    return new Readings(manager.figures(), channel.received(), channel.sent());
  }

  double bytesUpASecondSince(Readings earlier) {
    return (bytesUp - earlier.bytesUp) / secondsSince(earlier);
  }

  double bytesDownASecondSince(Readings earlier) {
    return (bytesDown - earlier.bytesDown) / secondsSince(earlier);
  }

  double coreShareSince(Readings earlier) {
    return process.coreShareSince(earlier.process);
  }

  private double secondsSince(Readings earlier) {
    return (process.at() - earlier.process.at()) / SECOND;
  }
}
