package tansytrack.fleet;

import java.util.LinkedHashSet;
import java.util.Set;

/** What this member knows of another one. */
final class Member {

  Word word;
  long since;
  long suspectedAt;
  // The members that have reported the present suspicion.
  final Set<String> accusers = new LinkedHashSet<>();
  final Numbers numbers = new Numbers();

  Member(Word word, long now) {
    this.word = word;
    since = now;
  }
}
