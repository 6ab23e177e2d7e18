package tansytrack.fleet.udp;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import tansytrack.fleet.Fact;
import tansytrack.fleet.MemberState;
import tansytrack.fleet.MemberStatus;
import tansytrack.fleet.Message;
import tansytrack.fleet.Stage;
import tansytrack.fleet.proto.FactForm;
import tansytrack.fleet.proto.LetterForm;
import tansytrack.fleet.proto.WordForm;

/**
 * Encodes and decodes messages. Addresses are not sent: a decoded state has the member's name as
 * its address, which each receiver resolves by its own list of peers.
 */
final class MessageCodec {

  private static final long NANOS_PER_US = 1000;

  private MessageCodec() {}

  /** The datagram is malformed, or has a kind or value that this version does not know. */
  static final class DecodeException extends Exception {
    private static final long serialVersionUID = 1L;

    DecodeException(String message) {
      super(message);
    }
  }

  static byte[] encode(Message message) {
    LetterForm.Builder proto =
        LetterForm.newBuilder()
            .setKindValue(message.kind().ordinal() + 1)
            .setNumber(message.messageNumber())
            .setSequence(message.requestId())
            .setFrom(toProto(message.sender()))
            .setAbout(message.targetOrStartKey())
            .setNext(message.nextKey());
    message.updates().forEach(state -> proto.addWords(toProto(state)));
    for (Fact fact : message.facts()) {
      FactForm.Builder factProto =
          FactForm.newBuilder()
              .setOwner(fact.owner())
              .setIncarnation(fact.incarnation())
              .setLife(fact.instanceId())
              .setKind(fact.kind())
              .setSubject(fact.subject())
              .setNumber(fact.version())
              .setAgeUs(fact.ageNanos() / NANOS_PER_US)
              .setLastsUs(fact.ttlNanos() / NANOS_PER_US);
      for (long value : fact.values()) {
        factProto.addValues(value);
      }
      proto.addFacts(factProto);
    }
    return proto.build().toByteArray();
  }

  private static WordForm toProto(MemberState state) {
    return WordForm.newBuilder()
        .setName(state.name())
        .setPlace(state.zone())
        .setLife(state.instanceId())
        .setIncarnation(state.incarnation())
        .setStandingValue(state.status().ordinal())
        .setStageValue(state.stage().ordinal())
        .setVersion(state.version())
        .setSettings(state.settingsDigest())
        .setBy(state.reportedBy())
        .build();
  }

  static Message decode(byte[] datagram) throws DecodeException {
    LetterForm proto;
    try {
      proto = LetterForm.parseFrom(datagram);
    } catch (InvalidProtocolBufferException e) {
      throw new DecodeException("not a valid message: " + e.getMessage());
    }
    int kind = proto.getKindValue() - 1;
    if (kind < 0 || kind >= Message.Kind.values().length) {
      throw new DecodeException("unknown message kind " + proto.getKindValue());
    }
    List<MemberState> updates = new ArrayList<>();
    for (WordForm update : proto.getWordsList()) {
      updates.add(fromProto(update));
    }
    List<Fact> facts = new ArrayList<>();
    for (FactForm fact : proto.getFactsList()) {
      facts.add(
          new Fact(
              fact.getOwner(),
              fact.getIncarnation(),
              fact.getLife(),
              fact.getKind(),
              fact.getSubject(),
              fact.getNumber(),
              fact.getValuesList().stream().mapToLong(Long::longValue).toArray(),
              toNanos(fact.getAgeUs()),
              toNanos(fact.getLastsUs())));
    }
    return new Message(
        Message.Kind.values()[kind],
        proto.getNumber(),
        proto.getSequence(),
        fromProto(proto.getFrom()),
        proto.getAbout(),
        proto.getNext(),
        updates,
        facts);
  }

  private static long toNanos(long micros) throws DecodeException {
    if (micros < 0 || micros > Long.MAX_VALUE / NANOS_PER_US / 4) {
      throw new DecodeException("time out of range: " + Long.toUnsignedString(micros) + " us");
    }
    return micros * NANOS_PER_US;
  }

  private static MemberState fromProto(WordForm proto) throws DecodeException {
    int status = proto.getStandingValue();
    int stage = proto.getStageValue();
    if (status < 0 || status >= MemberStatus.values().length || stage < 0) {
      throw new DecodeException("unknown member status " + status + " or stage " + stage);
    }
    // A later version may have added stages; such a member counts as serving.
    Stage knownStage = stage < Stage.values().length ? Stage.values()[stage] : Stage.SERVING;
    return new MemberState(
        proto.getName(),
        proto.getName(),
        proto.getPlace(),
        proto.getLife(),
        proto.getIncarnation(),
        MemberStatus.values()[status],
        knownStage,
        proto.getVersion(),
        proto.getSettings(),
        proto.getBy());
  }
}
