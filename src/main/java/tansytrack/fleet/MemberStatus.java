package tansytrack.fleet;

/** What is held of a member, each overruling the one before it at the same incarnation. */
public enum MemberStatus {
  ALIVE,
  SUSPECT,
  DEAD,
  LEFT;

  /** May it still be there? */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECT;
  }
}
