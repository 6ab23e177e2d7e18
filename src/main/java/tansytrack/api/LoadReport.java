package tansytrack.api;

/** An engine's word on its load; NaN where a figure was not told. */
public record LoadReport(
    double coresBusy, double held, double waiting, double memoryGranted, double disksBusy) {}
