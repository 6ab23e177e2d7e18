package tansytrack.api;

/** The load that an engine reported; NaN where a figure was not reported. */
public record LoadReport(
    double coresBusy, double held, double waiting, double memoryGranted, double disksBusy) {}
