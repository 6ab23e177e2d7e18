package tansytrack.fleet;

/**
 * The state of a member as it is gossiped. Only the member itself raises its incarnation; others
 * report it as suspected or dead at the incarnation that they know.
 *
 * @param life identifies one start of the process; random rather than a time, as clocks may step
 *     back
 * @param settings digest of the settings in use
 * @param by the member that reported the suspicion or death, or empty
 */
public record Word(
    String name,
    String address,
    String place,
    long life,
    long incarnation,
    Standing standing,
    Stage stage,
    String version,
    String settings,
    String by) {

  // Upper bound of the encoded numbers and length prefixes.
  private static final int BESIDE_TEXT = 32;
  private static final int LONGEST = 64;
  /** Highest valid incarnation: a forged state must leave room for a higher one that refutes it. */
  public static final long MOST_INCARNATION = 1L << 52;


  /** The state with which a member starts. */
  public static Word first(
      String name, String address, String place, long life, String version, String settings) {
    return new Word(
        name, address, place, life, 1, Standing.ALIVE, Stage.STARTING, version, settings, "");
  }

  /**
   * Whether this state replaces another one of the same name. The order is total and the same on
   * all members.
   */
  public boolean overrules(Word other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : life != other.life ? life > other.life : standing.compareTo(other.standing) > 0;
  }

  /** Whether both states are of the same instance of the member at the same incarnation. */
  public boolean sameTerm(Word other) {
    return incarnation == other.incarnation && life == other.life;
  }

  /** Whether all fields are within their limits. */
  public boolean usable() {
    return !name.isEmpty()
        && name.charAt(0) < '~'
        && !address.isEmpty()
        && isShort(name)
        && isShort(address)
        && isShort(place)
        && isShort(version)
        && isShort(settings)
        && isShort(by)
        && incarnation > 0
        && incarnation <= MOST_INCARNATION
        && life != 0;
  }

  private static boolean isShort(String text) {
    return text.length() <= LONGEST;
  }

  Word as(Standing next, String accuser) {
    return new Word(
        name, address, place, life, incarnation, next, stage, version, settings, accuser);
  }

  Word at(long next, Standing is, Stage does) {
    return new Word(name, address, place, life, next, is, does, version, settings, "");
  }

  /** An upper bound of the encoded size. */
  int bytes() {
    return BESIDE_TEXT
        + name.length()
        + address.length()
        + place.length()
        + version.length()
        + settings.length()
        + by.length();
  }
}
