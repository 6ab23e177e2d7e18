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
 * Letters as datagrams and back. A name stands for its address: where it is, each reader's own
 * table tells.
 */
final class MessageCodec {

  private static final long NANOS_PER_US = 1000;

  private MessageCodec() {}

  /** It is no letter, or of a kind of the future. */
  static final class DecodeException extends Exception {
    private static final long serialVersionUID = 1L;

    DecodeException(String why) {
      super(why);
    }
  }

  static byte[] encode(Message letter) {
    LetterForm.Builder form =
        LetterForm.newBuilder()
            .setKindValue(letter.kind().ordinal() + 1)
            .setNumber(letter.messageNumber())
            .setSequence(letter.requestId())
            .setFrom(toProto(letter.sender()))
            .setAbout(letter.targetOrStartKey())
            .setNext(letter.nextKey());
    letter.updates().forEach(word -> form.addWords(toProto(word)));
    for (Fact fact : letter.facts()) {
      FactForm.Builder one =
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
        one.addValues(value);
      }
      form.addFacts(one);
    }
    return form.build().toByteArray();
  }

  private static WordForm toProto(MemberState word) {
    return WordForm.newBuilder()
        .setName(word.name())
        .setPlace(word.zone())
        .setLife(word.instanceId())
        .setIncarnation(word.incarnation())
        .setStandingValue(word.status().ordinal())
        .setStageValue(word.stage().ordinal())
        .setVersion(word.version())
        .setSettings(word.settingsDigest())
        .setBy(word.reportedBy())
        .build();
  }

  static Message decode(byte[] datagram) throws DecodeException {
    LetterForm form;
    try {
      form = LetterForm.parseFrom(datagram);
    } catch (InvalidProtocolBufferException e) {
      throw new DecodeException("no letter: " + e.getMessage());
    }
    int kind = form.getKindValue() - 1;
    if (kind < 0 || kind >= Message.Kind.values().length) {
      throw new DecodeException("a letter of unknown kind " + form.getKindValue());
    }
    List<MemberState> words = new ArrayList<>();
    for (WordForm word : form.getWordsList()) {
      words.add(fromProto(word));
    }
    List<Fact> facts = new ArrayList<>();
    for (FactForm fact : form.getFactsList()) {
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
        form.getNumber(),
        form.getSequence(),
        fromProto(form.getFrom()),
        form.getAbout(),
        form.getNext(),
        words,
        facts);
  }

  private static long toNanos(long micros) throws DecodeException {
    if (micros < 0 || micros > Long.MAX_VALUE / NANOS_PER_US / 4) {
      throw new DecodeException("a time of " + Long.toUnsignedString(micros) + " us");
    }
    return micros * NANOS_PER_US;
  }

  private static MemberState fromProto(WordForm form) throws DecodeException {
    int standing = form.getStandingValue();
    int stage = form.getStageValue();
    if (standing < 0 || standing >= MemberStatus.values().length || stage < 0) {
      throw new DecodeException("a member of unknown standing " + standing + " or stage " + stage);
    }
    // A stage of the future: whatever it does, it is there.
    Stage does = stage < Stage.values().length ? Stage.values()[stage] : Stage.SERVING;
    return new MemberState(
        form.getName(),
        form.getName(),
        form.getPlace(),
        form.getLife(),
        form.getIncarnation(),
        MemberStatus.values()[standing],
        does,
        form.getVersion(),
        form.getSettings(),
        form.getBy());
  }
}
