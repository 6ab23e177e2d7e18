package tansytrack.api;

/** The load that an engine reported; NaN where a figure was not reported. */
public record LoadReport(
    double cpuUtilization,
    double activeTasks,
    double queuedTasks,
    double grantedMemoryFraction,
    double diskUtilization) {}
