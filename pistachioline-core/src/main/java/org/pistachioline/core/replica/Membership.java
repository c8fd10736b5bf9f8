package org.pistachioline.core.replica;

/**
 * Which group an instance belongs to, by its own word.
 *
 * @param group the group
 * @param rank its place in the group's list of members; 0 is the head
 * @param state how far it is
 */
public record Membership(GroupId group, int rank, MemberState state) {

}
