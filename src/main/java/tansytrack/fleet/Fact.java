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

  /** Whether this version is newer than another one of the same owner, kind and subject. */
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

  Fact withAge(long newAge) {
    return new Fact(
        owner, incarnation, instanceId, kind, subject, version, values, newAge, ttlNanos);
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
