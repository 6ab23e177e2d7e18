package tansytrack.fleet;

/**
 * The state of a member as it is gossiped. Only the member itself raises its incarnation; others
 * report it as suspected or dead at the incarnation that they know.
 *
 * @param instanceId identifies one start of the process; random rather than a time, as clocks may
 *     step back
 * @param settingsDigest digest of the settings in use
 * @param reportedBy the member that reported the suspicion or death, or empty
 */
public record MemberState(
    String name,
    String address,
    String zone,
    long instanceId,
    long incarnation,
    MemberStatus status,
    Stage stage,
    String version,
    String settingsDigest,
    String reportedBy) {

  // Upper bound of the encoded numbers and length prefixes.
  private static final int FIXED_BYTES = 32;
  private static final int MAX_TEXT_LENGTH = 64;

  /** Highest valid incarnation: a forged state must leave room for a higher one that refutes it. */
  public static final long MAX_INCARNATION = 1L << 52;

  /** The state with which a member starts. */
  public static MemberState initial(
      String name,
      String address,
      String zone,
      long instanceId,
      String version,
      String settingsDigest) {
    return new MemberState(
        name,
        address,
        zone,
        instanceId,
        1,
        MemberStatus.ALIVE,
        Stage.STARTING,
        version,
        settingsDigest,
        "");
  }

  /**
   * Whether this state replaces another one of the same name. The order is total and the same on
   * all members.
   */
  public boolean supersedes(MemberState other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : instanceId != other.instanceId
            ? instanceId > other.instanceId
            : status.compareTo(other.status) > 0;
  }

  /** Whether both states are of the same instance of the member at the same incarnation. */
  public boolean isSameIncarnation(MemberState other) {
    return incarnation == other.incarnation && instanceId == other.instanceId;
  }

  /** Whether all fields are within their limits. */
  public boolean isValid() {
    return !name.isEmpty()
        && name.charAt(0) < '~'
        && !address.isEmpty()
        && isWithinLimit(name)
        && isWithinLimit(address)
        && isWithinLimit(zone)
        && isWithinLimit(version)
        && isWithinLimit(settingsDigest)
        && isWithinLimit(reportedBy)
        && incarnation > 0
        && incarnation <= MAX_INCARNATION
        && instanceId != 0;
  }

  private static boolean isWithinLimit(String text) {
    return text.length() <= MAX_TEXT_LENGTH;
  }

  MemberState withStatus(MemberStatus newStatus, String reporter) {
    return new MemberState(
        name,
        address,
        zone,
        instanceId,
        incarnation,
        newStatus,
        stage,
        version,
        settingsDigest,
        reporter);
  }

  MemberState withIncarnation(long newIncarnation, MemberStatus newStatus, Stage newStage) {
    return new MemberState(
        name,
        address,
        zone,
        instanceId,
        newIncarnation,
        newStatus,
        newStage,
        version,
        settingsDigest,
        "");
  }

  /** An upper bound of the encoded size. */
  int maxEncodedBytes() {
    return FIXED_BYTES
        + name.length()
        + address.length()
        + zone.length()
        + version.length()
        + settingsDigest.length()
        + reportedBy.length();
  }
}
