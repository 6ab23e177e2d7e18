package tansytrack.lab.footprint;

/**
 * What the stand-in engines have counted, of all managers together.
 *
 * @param probes load questions since the first launch
 * @param idleProbeRequestBytesPerSecond bytes a second of load questions in the reading at rest
 * @param idleProbeResponseBytesPerSecond bytes a second of their answers
 * @param openConnections open when the reading at rest ended
 */
record EngineTraffic(
    long probes,
    double idleProbeRequestBytesPerSecond,
    double idleProbeResponseBytesPerSecond,
    int openConnections) {}
