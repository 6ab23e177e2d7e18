package tansytrack.fleet;

import java.util.LinkedHashSet;
import java.util.Set;

/** The state that this member holds of another member. */
final class Member {

  MemberState state;
  long statusSince;
  long suspectedAt;
  // The members that have reported the present suspicion.
  final Set<String> suspectors = new LinkedHashSet<>();
  final ReplayWindow replayWindow = new ReplayWindow();

  Member(MemberState state, long now) {
    this.state = state;
    statusSince = now;
  }
}
