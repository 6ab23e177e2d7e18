package tansytrack.fleet;

/**
 * What is said of a member. Only the member itself raises its incarnation; others say that it is
 * suspected or dead at the incarnation that they know. A life is one start of the program: chance,
 * not a clock, which may step back.
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

  private static final int FIXED_BYTES = 32; // bytes, of figures and lengths
  private static final int MAX_TEXT_LENGTH = 64;
  public static final long MAX_INCARNATION =
      1L << 52; // a forged one must not take the room to refute it

  /** A member's first word of itself. */
  public static MemberState initial(
      String name, String address, String place, long life, String version, String settings) {
    return new MemberState(
        name, address, place, life, 1, MemberStatus.ALIVE, Stage.STARTING, version, settings, "");
  }

  /**
   * One order for all that can be said of a name, the same everywhere: what is later in it is held.
   */
  public boolean supersedes(MemberState other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : instanceId != other.instanceId
            ? instanceId > other.instanceId
            : status.compareTo(other.status) > 0;
  }

  /** Whether both speak of the same incarnation and the same life of the member. */
  public boolean isSameIncarnation(MemberState other) {
    return incarnation == other.incarnation && instanceId == other.instanceId;
  }

  /** Whether name and address can be those of a member. */
  public boolean isValid() {
    return !name.isEmpty()
        && name.charAt(0) < '~'
        && !address.isEmpty()
        && isShort(name)
        && isShort(address)
        && isShort(zone)
        && isShort(version)
        && isShort(settingsDigest)
        && isShort(reportedBy)
        && incarnation > 0
        && incarnation <= MAX_INCARNATION
        && instanceId != 0;
  }

  private static boolean isShort(String text) {
    return text.length() <= MAX_TEXT_LENGTH;
  }

  MemberState withStatus(MemberStatus next, String accuser) {
    return new MemberState(
        name,
        address,
        zone,
        instanceId,
        incarnation,
        next,
        stage,
        version,
        settingsDigest,
        accuser);
  }

  MemberState withIncarnation(long next, MemberStatus is, Stage does) {
    return new MemberState(
        name, address, zone, instanceId, next, is, does, version, settingsDigest, "");
  }

  /** At most so many bytes in a datagram. */
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
