package tansytrack.fleet;

/** The status of a member; at the same incarnation each constant supersedes those before it. */
public enum MemberStatus {
  ALIVE,
  SUSPECT,
  DEAD,
  LEFT;

  /** Whether the member may still be running: it is alive or only suspected. */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECT;
  }
}
