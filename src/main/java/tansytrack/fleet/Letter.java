package tansytrack.fleet;

import java.util.List;

/**
 * A message between two members.
 *
 * @param number counts the sender's messages, to detect duplicates
 * @param sequence joins a reply to its request
 * @param from the sender's own state
 * @param about the probed member; in a sync, the key at which the page begins
 * @param next in a sync, the key at which the next page begins; empty after the last page
 * @param words piggybacked or synced member states
 * @param facts piggybacked or synced facts
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

  /**
   * The kind of a message. PING_REQ asks the recipient to probe a third member; SYNC_REQUEST and
   * SYNC_RESPONSE carry the pages of an anti-entropy sync.
   */
  public enum Kind {
    PING,
    ACK,
    ASK,
    NACK,
    WHOLE,
    PAGE
  }

  static final int BESIDE_TEXT = 40;

  /** A copy with other member states. */
  public Letter with(List<Word> other) {
    return new Letter(kind, number, sequence, from, about, next, other, facts);
  }

  /** An upper bound of the encoded size. */
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
