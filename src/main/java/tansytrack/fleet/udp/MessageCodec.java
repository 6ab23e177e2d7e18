package tansytrack.fleet.udp;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import tansytrack.fleet.Fact;
import tansytrack.fleet.MemberState;
import tansytrack.fleet.MemberStatus;
import tansytrack.fleet.Message;
import tansytrack.fleet.Stage;
import tansytrack.fleet.proto.FactUpdate;
import tansytrack.fleet.proto.GossipMessage;
import tansytrack.fleet.proto.MemberUpdate;

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
    GossipMessage.Builder proto =
        GossipMessage.newBuilder()
            .setKindValue(message.kind().ordinal() + 1)
            .setMessageNumber(message.messageNumber())
            .setRequestId(message.requestId())
            .setSender(toProto(message.sender()))
            .setTargetOrStartKey(message.targetOrStartKey())
            .setNextKey(message.nextKey());
    message.updates().forEach(state -> proto.addUpdates(toProto(state)));
    for (Fact fact : message.facts()) {
      FactUpdate.Builder factProto =
          FactUpdate.newBuilder()
              .setOwner(fact.owner())
              .setIncarnation(fact.incarnation())
              .setInstanceId(fact.instanceId())
              .setKind(fact.kind())
              .setSubject(fact.subject())
              .setVersion(fact.version())
              .setAgeUs(fact.ageNanos() / NANOS_PER_US)
              .setTtlUs(fact.ttlNanos() / NANOS_PER_US);
      for (long value : fact.values()) {
        factProto.addValues(value);
      }
      proto.addFacts(factProto);
    }
    return proto.build().toByteArray();
  }

  private static MemberUpdate toProto(MemberState state) {
    return MemberUpdate.newBuilder()
        .setName(state.name())
        .setZone(state.zone())
        .setInstanceId(state.instanceId())
        .setIncarnation(state.incarnation())
        .setStatusValue(state.status().ordinal())
        .setStageValue(state.stage().ordinal())
        .setVersion(state.version())
        .setSettingsDigest(state.settingsDigest())
        .setReportedBy(state.reportedBy())
        .build();
  }

  static Message decode(byte[] datagram) throws DecodeException {
    GossipMessage proto;
    try {
      proto = GossipMessage.parseFrom(datagram);
    } catch (InvalidProtocolBufferException e) {
      throw new DecodeException("not a valid message: " + e.getMessage());
    }
    int kind = proto.getKindValue() - 1;
    if (kind < 0 || kind >= Message.Kind.values().length) {
      throw new DecodeException("unknown message kind " + proto.getKindValue());
    }
    List<MemberState> updates = new ArrayList<>();
    for (MemberUpdate update : proto.getUpdatesList()) {
      updates.add(fromProto(update));
    }
    List<Fact> facts = new ArrayList<>();
    for (FactUpdate fact : proto.getFactsList()) {
      facts.add(
          new Fact(
              fact.getOwner(),
              fact.getIncarnation(),
              fact.getInstanceId(),
              fact.getKind(),
              fact.getSubject(),
              fact.getVersion(),
              fact.getValuesList().stream().mapToLong(Long::longValue).toArray(),
              toNanos(fact.getAgeUs()),
              toNanos(fact.getTtlUs())));
    }
    return new Message(
        Message.Kind.values()[kind],
        proto.getMessageNumber(),
        proto.getRequestId(),
        fromProto(proto.getSender()),
        proto.getTargetOrStartKey(),
        proto.getNextKey(),
        updates,
        facts);
  }

  private static long toNanos(long micros) throws DecodeException {
    if (micros < 0 || micros > Long.MAX_VALUE / NANOS_PER_US / 4) {
      throw new DecodeException("time out of range: " + Long.toUnsignedString(micros) + " us");
    }
    return micros * NANOS_PER_US;
  }

  private static MemberState fromProto(MemberUpdate proto) throws DecodeException {
    int status = proto.getStatusValue();
    int stage = proto.getStageValue();
    if (status < 0 || status >= MemberStatus.values().length || stage < 0) {
      throw new DecodeException("unknown member status " + status + " or stage " + stage);
    }
    // A later version may have added stages; such a member counts as serving.
    Stage knownStage = stage < Stage.values().length ? Stage.values()[stage] : Stage.SERVING;
    return new MemberState(
        proto.getName(),
        proto.getName(),
        proto.getZone(),
        proto.getInstanceId(),
        proto.getIncarnation(),
        MemberStatus.values()[status],
        knownStage,
        proto.getVersion(),
        proto.getSettingsDigest(),
        proto.getReportedBy());
  }
}
