package tansytrack.fleet;

/**
 * What is said of a member. Only the member itself raises its incarnation; others say that it is
 * suspected or dead at the incarnation that they know. A life is one start of the program: chance,
 * not a clock, which may step back.
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

  private static final int BESIDE_TEXT = 32; // bytes, of figures and lengths
  private static final int LONGEST = 64;
  public static final long MOST_INCARNATION =
      1L << 52; // a forged one must not take the room to refute it

  /** A member's first word of itself. */
  public static Word first(
      String name, String address, String place, long life, String version, String settings) {
    return new Word(
        name, address, place, life, 1, Standing.ALIVE, Stage.STARTING, version, settings, "");
  }

  /**
   * One order for all that can be said of a name, the same everywhere: what is later in it is held.
   */
  public boolean overrules(Word other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : life != other.life ? life > other.life : standing.compareTo(other.standing) > 0;
  }

  /** Whether both speak of the same incarnation and the same life of the member. */
  public boolean sameTerm(Word other) {
    return incarnation == other.incarnation && life == other.life;
  }

  /** Whether name and address can be those of a member. */
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

  /** At most so many bytes in a datagram. */
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
