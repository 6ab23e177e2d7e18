package tansytrack.fleet;

/** An effect that the membership requests; the caller executes the effects in the order given. */
public sealed interface Action {

  /** Send a message to an address. */
  record Send(String address, Letter letter) implements Action {}

  /** The state held of a member has changed; {@code before} is null for a new member. */
  record Changed(Word before, Word after) implements Action {}

  /** Another running process uses this member's name. */
  record Twin(String name, String address) implements Action {}
}
