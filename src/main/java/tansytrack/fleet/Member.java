package tansytrack.fleet;

import java.util.LinkedHashSet;
import java.util.Set;

/** What is held of another member. */
final class Member {

  MemberState state;
  long statusSince; // it is held to be that
  long suspectedAt;
  final Set<String> suspectors = new LinkedHashSet<>(); // of the present suspicion
  final ReplayWindow replayWindow = new ReplayWindow();

  Member(MemberState word, long now) {
    this.state = word;
    statusSince = now;
  }
}
