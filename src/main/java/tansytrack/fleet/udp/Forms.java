package tansytrack.fleet.udp;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import tansytrack.fleet.Fact;
import tansytrack.fleet.Letter;
import tansytrack.fleet.Stage;
import tansytrack.fleet.Standing;
import tansytrack.fleet.Word;
import tansytrack.fleet.proto.FactForm;
import tansytrack.fleet.proto.LetterForm;
import tansytrack.fleet.proto.WordForm;

/**
 * Encodes and decodes messages. Addresses are not sent: a decoded state has the member's name as
 * its address, which each receiver resolves by its own list of peers.
 */
final class Forms {

  private static final long MICRO = 1000;

  private Forms() {}

  /** The datagram is malformed, or has a kind or value that this version does not know. */
  static final class Unreadable extends Exception {
    private static final long serialVersionUID = 1L;

    Unreadable(String why) {
      super(why);
    }
  }

  static byte[] bytes(Letter letter) {
    LetterForm.Builder form =
        LetterForm.newBuilder()
            .setKindValue(letter.kind().ordinal() + 1)
            .setNumber(letter.number())
            .setSequence(letter.sequence())
            .setFrom(form(letter.from()))
            .setAbout(letter.about())
            .setNext(letter.next());
    letter.words().forEach(word -> form.addWords(form(word)));
    for (Fact fact : letter.facts()) {
      FactForm.Builder one =
          FactForm.newBuilder()
              .setOwner(fact.owner())
              .setIncarnation(fact.incarnation())
              .setLife(fact.life())
              .setKind(fact.kind())
              .setSubject(fact.subject())
              .setNumber(fact.number())
              .setAgeUs(fact.age() / MICRO)
              .setLastsUs(fact.lasts() / MICRO);
      for (long value : fact.values()) {
        one.addValues(value);
      }
      form.addFacts(one);
    }
    return form.build().toByteArray();
  }

  private static WordForm form(Word word) {
    return WordForm.newBuilder()
        .setName(word.name())
        .setPlace(word.place())
        .setLife(word.life())
        .setIncarnation(word.incarnation())
        .setStandingValue(word.standing().ordinal())
        .setStageValue(word.stage().ordinal())
        .setVersion(word.version())
        .setSettings(word.settings())
        .setBy(word.by())
        .build();
  }

  static Letter letter(byte[] datagram) throws Unreadable {
    LetterForm form;
    try {
      form = LetterForm.parseFrom(datagram);
    } catch (InvalidProtocolBufferException e) {
      throw new Unreadable("not a valid message: " + e.getMessage());
    }
    int kind = form.getKindValue() - 1;
    if (kind < 0 || kind >= Letter.Kind.values().length) {
      throw new Unreadable("unknown message kind " + form.getKindValue());
    }
    List<Word> words = new ArrayList<>();
    for (WordForm word : form.getWordsList()) {
      words.add(word(word));
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
              time(fact.getAgeUs()),
              time(fact.getLastsUs())));
    }
    return new Letter(
        Letter.Kind.values()[kind],
        form.getNumber(),
        form.getSequence(),
        word(form.getFrom()),
        form.getAbout(),
        form.getNext(),
        words,
        facts);
  }

  private static long time(long micros) throws Unreadable {
    if (micros < 0 || micros > Long.MAX_VALUE / MICRO / 4) {
      throw new Unreadable("time out of range: " + Long.toUnsignedString(micros) + " us");
    }
    return micros * MICRO;
  }

  private static Word word(WordForm form) throws Unreadable {
    int standing = form.getStandingValue();
    int stage = form.getStageValue();
    if (standing < 0 || standing >= Standing.values().length || stage < 0) {
      throw new Unreadable("unknown member status " + standing + " or stage " + stage);
    }
    // A later version may have added stages; such a member counts as serving.
    Stage does = stage < Stage.values().length ? Stage.values()[stage] : Stage.SERVING;
    return new Word(
        form.getName(),
        form.getName(),
        form.getPlace(),
        form.getLife(),
        form.getIncarnation(),
        Standing.values()[standing],
        does,
        form.getVersion(),
        form.getSettings(),
        form.getBy());
  }
}
