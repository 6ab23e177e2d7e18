package tansytrack.fleet;

/** What is to be done for the fleet's sake, as values; whoever runs it does them in this order. */
public sealed interface Action {

  /** A letter is to go to that address. */
  record Send(String address, Message message) implements Action {}

  /** Another thing is held of a member than before; null before: it is new. */
  record MemberChanged(MemberState before, MemberState after) implements Action {}

  /** Another living process uses this one's name. */
  record NameConflict(String name, String address) implements Action {}
}
