package tansytrack.lab.footprint;

/**
 * What one manager cost. Times in nanoseconds; a change that did not reach it has the time -1.
 *
 * @param startTime from the launch until a client was answered
 * @param residentKb after the time to settle and the reading at rest
 * @param mostResidentKb at the end of all, behind a whole list told once more
 * @param restCoreShare part of one core at rest
 * @param restBytesUp bytes a second to the channel at rest
 * @param restBytesDown bytes a second from it
 * @param loadCoreShare part of one core under load; NaN: no load
 * @param handled statements under load that brought rows
 * @param others those that did not
 * @param changeTime until it had a change of one engine
 * @param listTime until it had the whole list once more
 * @param startBytesDown bytes from the channel between launch and settled
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

  /** Did it get both changes? */
  boolean reached() {
    return changeTime >= 0 && listTime >= 0;
  }
}
