package tansytrack.ledger;

/**
 * What one forward used: times in nanoseconds of the Unix clock (ended 0: still out), work in nanoseconds on one core as
 * the engine told it, memory in MB. Wasted: nobody got what it made. The outcome is the forward's, or UNKNOWN where its
 * manager died meanwhile.
 */
public record Use(int index, String engine, long sentAt, long endedAt, String outcome, long work, long neededMb,
        long grantedMb, boolean wasted) {

    public static final String UNKNOWN = "UNKNOWN";
    private static final double MB_NS_A_GB_SECOND = 1024e9;

    public boolean out() {
        return outcome.isEmpty();
    }

    /** Memory granted times the time that it was, in MB-nanoseconds; an end that nobody knows counts for nothing. */
    public double held() {
        return endedAt == 0 ? 0 : (double) grantedMb * (endedAt - sentAt);
    }

    public double gbSeconds() {
        return held() / MB_NS_A_GB_SECOND;
    }
}
