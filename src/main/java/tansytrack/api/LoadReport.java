package tansytrack.api;

/** An engine's word on its load; NaN where a figure was not told. */
public record LoadReport(
    double cpuUtilization,
    double activeTasks,
    double queuedTasks,
    double grantedMemoryFraction,
    double diskUtilization) {}
