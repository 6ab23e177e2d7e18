package tansytrack.fleet;

import java.util.HashMap;
import java.util.Map;

/** Handles claims about this member that other members make: refutes them or reclaims the name. */
final class SelfClaims {

  // Minimum time between two attempts to reclaim a name that another process uses too.
  private static final long NAME_CONFLICT_INTERVAL_NANOS = 60_000_000_000L;

  private final LocalState local;
  private final Outbox outbox;
  // By instance ID of another process with this name: this member's incarnation with which it
  // refuted that process.
  private final Map<Long, Long> refutingIncarnations = new HashMap<>();
  private long nameConflictAt = Long.MIN_VALUE;

  SelfClaims(LocalState local, Outbox outbox) {
    this.local = local;
    this.outbox = outbox;
  }

  /** Merges a state with this member's name into this member's own state. */
  void merge(MemberState claim) {
    if (claim.instanceId() == local.self.instanceId()) {
      if (claim.incarnation() >= local.self.incarnation()
          && claim.status() != MemberStatus.ALIVE
          && local.self.status() != MemberStatus.LEFT) {
        local.count("refuted");
        local.raiseHealthScore(1);
        outbox.updateSelf(
            local.self.withIncarnation(
                claim.incarnation() + 1, MemberStatus.ALIVE, local.self.stage()));
      }
      return;
    }
    if (!claim.supersedes(local.self)) {
      return;
    }
    Long refutingIncarnation = refutingIncarnations.get(claim.instanceId());
    boolean isConflict = refutingIncarnation != null && claim.incarnation() > refutingIncarnation;
    if (isConflict) {
      // The fixed name of the counter of name conflicts.
      local.count("twin");
      if (local.now - nameConflictAt < NAME_CONFLICT_INTERVAL_NANOS
          && nameConflictAt != Long.MIN_VALUE) {
        return;
      }
      nameConflictAt = local.now;
      outbox.add(new Action.NameConflict(claim.name(), claim.address()));
    }
    // The claim is of an earlier instance of this member or of another process with its name. The
    // highest incarnation holds the name.
    long nextIncarnation = claim.incarnation() + 1;
    refutingIncarnations.clear();
    refutingIncarnations.put(claim.instanceId(), nextIncarnation);
    if (nextIncarnation <= MemberState.MAX_INCARNATION) {
      outbox.updateSelf(
          local.self.withIncarnation(nextIncarnation, local.self.status(), local.self.stage()));
    }
  }
}
