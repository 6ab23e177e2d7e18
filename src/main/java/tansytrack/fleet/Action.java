package tansytrack.fleet;

/** An effect that the membership requests; the caller executes the effects in the order given. */
public sealed interface Action {

  /** Send a message to an address. */
  record Send(String address, Message message) implements Action {}

  /** The state held of a member has changed; {@code before} is null for a new member. */
  record MemberChanged(MemberState before, MemberState after) implements Action {}

  /** Another running process uses this member's name. */
  record NameConflict(String name, String address) implements Action {}
}
