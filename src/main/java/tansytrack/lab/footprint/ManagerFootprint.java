package tansytrack.lab.footprint;

/**
 * The resource usage of one manager. Times are in nanoseconds; -1 stands for a change that the
 * manager did not receive.
 *
 * @param startTime time from the launch until the first answer to a client
 * @param residentKb resident memory at the end of the idle measurement
 * @param mostResidentKb peak resident memory at the end, after the complete list was sent again
 * @param restCoreShare fraction of one core used while idle
 * @param restBytesUp bytes a second to the command channel while idle
 * @param restBytesDown bytes a second from the command channel while idle
 * @param loadCoreShare fraction of one core used under load; NaN without load
 * @param handled statements under load that returned rows
 * @param others statements under load that did not
 * @param changeTime time until a change of one engine was received
 * @param listTime time until the complete list was received again
 * @param startBytesDown bytes from the command channel from the launch until settled
 */
record ManagerFootprint(
    long startTime,
    long residentKb,
    long mostResidentKb,
    double restCoreShare,
    double restBytesUp,
    double restBytesDown,
    double loadCoreShare,
    long handled,
    long others,
    long changeTime,
    long listTime,
    long startBytesDown) {

  /** Whether the manager received both changes. */
  boolean reached() {
    return changeTime >= 0 && listTime >= 0;
  }
}
