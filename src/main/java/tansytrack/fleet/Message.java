package tansytrack.fleet;

import java.util.List;

/**
 * One message between two members. {@code about} names who is asked for, or answers; in pages it is
 * the key that the page begins at, and {@code next} the one that the next begins at, empty behind
 * the last.
 */
public record Message(
    Kind kind,
    long messageNumber,
    long requestId,
    MemberState sender,
    String targetOrStartKey,
    String nextKey,
    List<MemberState> updates,
    List<Fact> facts) {

  /** ASK has a third one pinged; WHOLE and PAGE are the two halves of a full exchange. */
  public enum Kind {
    PING,
    ACK,
    PING_REQ,
    NACK,
    SYNC_REQUEST,
    SYNC_RESPONSE
  }

  static final int FIXED_BYTES = 40;

  /** The same, saying that of members instead. */
  public Message withUpdates(List<MemberState> other) {
    return new Message(
        kind, messageNumber, requestId, sender, targetOrStartKey, nextKey, other, facts);
  }

  /** At most so many bytes as a datagram. */
  public int maxEncodedBytes() {
    int bytes =
        FIXED_BYTES + sender.maxEncodedBytes() + targetOrStartKey.length() + nextKey.length();
    for (MemberState word : updates) {
      bytes += word.maxEncodedBytes();
    }
    for (Fact fact : facts) {
      bytes += fact.maxEncodedBytes();
    }
    return bytes;
  }
}
