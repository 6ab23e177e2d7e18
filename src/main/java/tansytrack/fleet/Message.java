package tansytrack.fleet;

import java.util.List;

/**
 * A message between two members.
 *
 * @param messageNumber counts the sender's messages, to detect duplicates
 * @param requestId joins a reply to its request
 * @param sender the sender's own state
 * @param targetOrStartKey the probed member; in a sync, the key at which the page begins
 * @param nextKey in a sync, the key at which the next page begins; empty after the last page
 * @param updates piggybacked or synced member states
 * @param facts piggybacked or synced facts
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

  /**
   * The kind of a message. PING_REQ asks the recipient to probe a third member; SYNC_REQUEST and
   * SYNC_RESPONSE carry the pages of an anti-entropy sync.
   */
  public enum Kind {
    PING,
    ACK,
    PING_REQ,
    NACK,
    SYNC_REQUEST,
    SYNC_RESPONSE
  }

  static final int FIXED_BYTES = 40;

  /** A copy with other member states. */
  public Message withUpdates(List<MemberState> states) {
    return new Message(
        kind, messageNumber, requestId, sender, targetOrStartKey, nextKey, states, facts);
  }

  /** An upper bound of the encoded size. */
  public int maxEncodedBytes() {
    int bytes =
        FIXED_BYTES + sender.maxEncodedBytes() + targetOrStartKey.length() + nextKey.length();
    for (MemberState state : updates) {
      bytes += state.maxEncodedBytes();
    }
    for (Fact fact : facts) {
      bytes += fact.maxEncodedBytes();
    }
    return bytes;
  }
}
