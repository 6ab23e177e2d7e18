package tansytrack.lab.footprint;

/**
 * The resource usage of one manager. Times are in nanoseconds; -1 stands for a change that the
 * manager did not receive.
 *
 * @param startNanos time from the launch until the first answer to a client
 * @param residentKb resident memory at the end of the idle measurement
 * @param peakResidentKb peak resident memory at the end, after the complete list was sent again
 * @param idleCoreShare fraction of one core used while idle
 * @param idleBytesUpPerSecond bytes a second to the command channel while idle
 * @param idleBytesDownPerSecond bytes a second from the command channel while idle
 * @param loadCoreShare fraction of one core used under load; NaN without load
 * @param handled statements under load that returned rows
 * @param notHandled statements under load that did not
 * @param changeNanos time until a change of one engine was received
 * @param listNanos time until the complete list was received again
 * @param startBytesDown bytes from the command channel from the launch until settled
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

  /** Whether the manager received both changes. */
  boolean allChangesReceived() {
    return changeNanos >= 0 && listNanos >= 0;
  }
}
