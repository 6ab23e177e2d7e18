package tansytrack.fleet;

/**
 * The numbers of live members that routing decisions use.
 *
 * @param number increases with each change of the other two
 * @param there all live members, this one included
 * @param inPlace live members in this member's zone, this one included
 */
public record MembershipView(long version, int liveMembers, int liveMembersInZone) {}
