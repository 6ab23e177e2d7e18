package tansytrack.fleet;

import java.util.Arrays;

/**
 * What its owner last said of a subject. The version is the owner's life, incarnation and a number
 * that it counts up; the age grows on the way, so that a fact ends everywhere once its owner no
 * longer says it.
 */
public record Fact(
    String owner,
    long incarnation,
    long instanceId,
    String kind,
    String subject,
    long version,
    long[] values,
    long ageNanos,
    long ttlNanos) {

  private static final int FIXED_BYTES = 40;
  static final int MAX_VALUES = 8;
  private static final int MAX_TEXT_LENGTH = 64;

  String key() {
    return owner + '\n' + kind + '\n' + subject;
  }

  /** Is it said later than that one, of the same owner and subject? */
  boolean supersedes(Fact other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : instanceId != other.instanceId ? instanceId > other.instanceId : version > other.version;
  }

  boolean isSameVersion(Fact other) {
    return incarnation == other.incarnation
        && instanceId == other.instanceId
        && version == other.version;
  }

  Fact withAge(long now) {
    return new Fact(owner, incarnation, instanceId, kind, subject, version, values, now, ttlNanos);
  }

  boolean isValid() {
    return !owner.isEmpty()
        && owner.length() <= MAX_TEXT_LENGTH
        && kind.length() <= MAX_TEXT_LENGTH
        && subject.length() <= MAX_TEXT_LENGTH
        && values.length <= MAX_VALUES
        && ageNanos >= 0
        && ttlNanos > 0
        && incarnation > 0
        && instanceId != 0;
  }

  int maxEncodedBytes() {
    return FIXED_BYTES + owner.length() + kind.length() + subject.length() + 9 * values.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Fact fact
        && isSameVersion(fact)
        && key().equals(fact.key())
        && ageNanos == fact.ageNanos
        && ttlNanos == fact.ttlNanos
        && Arrays.equals(values, fact.values);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(version) * 31 + owner.hashCode();
  }
}
