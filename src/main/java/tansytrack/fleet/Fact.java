package tansytrack.fleet;

import java.util.Arrays;

/**
 * A value that its owner publishes about a subject, with a time to live. The version consists of
 * the owner's incarnation, its instance ID and a counter. The age grows while the fact is held or
 * forwarded, so that it expires on all members once its owner no longer renews it.
 */
public record Fact(
    String owner,
    long incarnation,
    long life,
    String kind,
    String subject,
    long number,
    long[] values,
    long age,
    long lasts) {

  private static final int BESIDE_TEXT = 40;
  static final int MOST_VALUES = 8;
  private static final int LONGEST = 64;

  String key() {
    return owner + '\n' + kind + '\n' + subject;
  }

  /** Whether this version is newer than another one of the same owner, kind and subject. */
  boolean overrules(Fact other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : life != other.life ? life > other.life : number > other.number;
  }

  boolean sameVersion(Fact other) {
    return incarnation == other.incarnation && life == other.life && number == other.number;
  }

  Fact aged(long now) {
    return new Fact(owner, incarnation, life, kind, subject, number, values, now, lasts);
  }

  boolean usable() {
    return !owner.isEmpty()
        && owner.length() <= LONGEST
        && kind.length() <= LONGEST
        && subject.length() <= LONGEST
        && values.length <= MOST_VALUES
        && age >= 0
        && lasts > 0
        && incarnation > 0
        && life != 0;
  }

  int bytes() {
    return BESIDE_TEXT + owner.length() + kind.length() + subject.length() + 9 * values.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Fact fact
        && sameVersion(fact)
        && key().equals(fact.key())
        && age == fact.age
        && lasts == fact.lasts
        && Arrays.equals(values, fact.values);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(number) * 31 + owner.hashCode();
  }
}
