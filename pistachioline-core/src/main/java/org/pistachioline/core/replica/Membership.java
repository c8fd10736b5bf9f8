package org.pistachioline.core.replica;

/**
 * An instance's membership in a group, as reported by the instance itself.
 *
 * @param group the group
 * @param rank the instance's index in the group's list of members; 0 is the head
 * @param state the state within the group
 */
public record Membership(GroupId group, int rank, MemberState state) {

}
