package org.pistachioline.core.replica;

import java.util.List;

/**
 * An order to one instance.
 */
public sealed interface ReplicaOrder {

	/**
	 * Returns the instance that it goes to.
	 * @return the instance
	 */
	ServingInstance instance();

	/**
	 * Returns the group that it is about.
	 * @return the group
	 */
	GroupId group();

	/**
	 * Returns the order's name in logs.
	 * @return the name
	 */
	String verb();

	/**
	 * Makes the instance a member of a group; it leaves any other.
	 *
	 * @param instance the instance
	 * @param group the group
	 * @param memberIds all members, the head first
	 */
	record Join(ServingInstance instance, GroupId group, List<String> memberIds) implements ReplicaOrder {

		public Join {
			memberIds = List.copyOf(memberIds);
		}

		@Override
		public String verb() {
			return "join";
		}

	}

	/**
	 * Makes a head take requests.
	 *
	 * @param instance the head
	 * @param group the group
	 */
	record Open(ServingInstance instance, GroupId group) implements ReplicaOrder {

		@Override
		public String verb() {
			return "open";
		}

	}

	/**
	 * Takes an instance out of its group.
	 *
	 * @param instance the instance
	 * @param group the group
	 */
	record Leave(ServingInstance instance, GroupId group) implements ReplicaOrder {

		@Override
		public String verb() {
			return "leave";
		}

	}

	/**
	 * Makes a head take no more requests.
	 *
	 * @param instance the head
	 * @param group the group
	 * @param dropWork whether it drops what it has instead of finishing it
	 */
	record Close(ServingInstance instance, GroupId group, boolean dropWork) implements ReplicaOrder {

		@Override
		public String verb() {
			return "close";
		}

	}

}
