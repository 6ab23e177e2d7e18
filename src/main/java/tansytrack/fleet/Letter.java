package tansytrack.fleet;

import java.util.List;

/**
 * One message between two members. {@code about} names who is asked for, or answers; in pages it is
 * the key that the page begins at, and {@code next} the one that the next begins at, empty behind
 * the last.
 */
public record Letter(
    Kind kind,
    long number,
    long sequence,
    Word from,
    String about,
    String next,
    List<Word> words,
    List<Fact> facts) {

  /** ASK has a third one pinged; WHOLE and PAGE are the two halves of a full exchange. */
  public enum Kind {
    PING,
    ACK,
    ASK,
    NACK,
    WHOLE,
    PAGE
  }

  static final int BESIDE_TEXT = 40;

  /** The same, saying that of members instead. */
  public Letter with(List<Word> other) {
    return new Letter(kind, number, sequence, from, about, next, other, facts);
  }

  /** At most so many bytes as a datagram. */
  public int bytes() {
    int bytes = BESIDE_TEXT + from.bytes() + about.length() + next.length();
    for (Word word : words) {
      bytes += word.bytes();
    }
    for (Fact fact : facts) {
      bytes += fact.bytes();
    }
    return bytes;
  }
}
