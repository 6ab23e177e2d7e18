package tansytrack.fleet;

import java.util.LinkedHashSet;
import java.util.Set;

/** What is held of another member. */
final class Member {

  Word word;
  long since; // it is held to be that
  long suspectedAt;
  final Set<String> accusers = new LinkedHashSet<>(); // of the present suspicion
  final Numbers numbers = new Numbers();

  Member(Word word, long now) {
    this.word = word;
    since = now;
  }
}
