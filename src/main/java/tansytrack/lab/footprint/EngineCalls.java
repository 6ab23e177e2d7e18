package tansytrack.lab.footprint;

/**
 * What the stand-in engines have counted, of all managers together.
 *
 * @param probes load questions since the first launch
 * @param restProbeBytesUp bytes a second of load questions in the reading at rest
 * @param restProbeBytesDown bytes a second of their answers
 * @param connections open when the reading at rest ended
 */
record EngineCalls(
    long probes, double restProbeBytesUp, double restProbeBytesDown, int connections) {}
