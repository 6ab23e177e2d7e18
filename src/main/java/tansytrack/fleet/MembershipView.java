package tansytrack.fleet;

/**
 * The numbers of live members that routing decisions use.
 *
 * @param version increases with each change of the other two
 * @param liveMembers all live members, this one included
 * @param liveMembersInZone live members in this member's zone, this one included
 */
public record MembershipView(long version, int liveMembers, int liveMembersInZone) {}
