package tansytrack.fleet;

/**
 * What decisions use of the fleet: members there, this one among them, in all and in its place;
 * grows in number with each change.
 */
public record MembershipView(long version, int liveMembers, int liveMembersInZone) {}
