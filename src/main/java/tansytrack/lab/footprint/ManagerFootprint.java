package tansytrack.lab.footprint;

/**
 * What one manager cost. Times in nanoseconds; a change that did not reach it has the time -1.
 *
 * @param startNanos from the launch until a client was answered
 * @param residentKb after the time to settle and the reading at rest
 * @param peakResidentKb at the end of all, behind a whole list told once more
 * @param idleCoreShare part of one core at rest
 * @param idleBytesUpPerSecond bytes a second to the channel at rest
 * @param idleBytesDownPerSecond bytes a second from it
 * @param loadCoreShare part of one core under load; NaN: no load
 * @param handled statements under load that brought rows
 * @param notHandled those that did not
 * @param changeNanos until it had a change of one engine
 * @param listNanos until it had the whole list once more
 * @param startBytesDown bytes from the channel between launch and settled
 */
record ManagerFootprint(
    long startNanos,
    long residentKb,
    long peakResidentKb,
    double idleCoreShare,
    double idleBytesUpPerSecond,
    double idleBytesDownPerSecond,
    double loadCoreShare,
    long handled,
    long notHandled,
    long changeNanos,
    long listNanos,
    long startBytesDown) {

  /** Did it get both changes? */
  boolean allChangesReceived() {
    return changeNanos >= 0 && listNanos >= 0;
  }
}
