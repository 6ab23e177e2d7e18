package tansytrack.lab.footprint;

/**
 * The traffic from all managers together, as counted by the stub engines.
 *
 * @param probes load probes since the first launch
 * @param restProbeBytesUp bytes a second of probe requests while managers were idle
 * @param restProbeBytesDown bytes a second of probe responses while managers were idle
 * @param connections open connections at the end of the idle measurement
 */
record EngineCalls(
    long probes, double restProbeBytesUp, double restProbeBytesDown, int connections) {}
