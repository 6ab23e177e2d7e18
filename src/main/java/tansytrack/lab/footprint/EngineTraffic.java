package tansytrack.lab.footprint;

/**
 * The traffic from all managers together, as counted by the stub engines.
 *
 * @param probes load probes since the first launch
 * @param idleProbeRequestBytesPerSecond bytes a second of probe requests while managers were idle
 * @param idleProbeResponseBytesPerSecond bytes a second of probe responses while managers were idle
 * @param openConnections open connections at the end of the idle measurement
 */
record EngineTraffic(
    long probes,
    double idleProbeRequestBytesPerSecond,
    double idleProbeResponseBytesPerSecond,
    int openConnections) {}
