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
	 * Returns what it is about, for logs: a group or a model.
	 * @return the name
	 */
	String subject();

	/**
	 * Returns the order's name in logs.
	 * @return the name
	 */
	String verb();

	/**
	 * An order about one group, which affects no other.
	 */
	sealed interface GroupOrder extends ReplicaOrder {

		/**
		 * Returns the group that it is about.
		 * @return the group
		 */
		GroupId group();

		@Override
		default String subject() {
			return group().name();
		}

	}

	/**
	 * Makes a host load a model's weights, beside all that its instance does.
	 *
	 * @param instance the instance
	 * @param model the model
	 */
	record Stage(ServingInstance instance, String model) implements ReplicaOrder {

		@Override
		public String verb() {
			return "stage";
		}

		@Override
		public String subject() {
			return this.model;
		}

	}

	/**
	 * Makes the instance a member of a group; it leaves any other.
	 *
	 * @param instance the instance
	 * @param group the group
	 * @param memberIds all members, the head first
	 */
	record Join(ServingInstance instance, GroupId group, List<String> memberIds) implements GroupOrder {

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
	record Open(ServingInstance instance, GroupId group) implements GroupOrder {

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
	record Leave(ServingInstance instance, GroupId group) implements GroupOrder {

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
	 * @param abortRequests whether it drops what it has instead of finishing it
	 */
	record Close(ServingInstance instance, GroupId group, boolean abortRequests) implements GroupOrder {

		@Override
		public String verb() {
			return "close";
		}

	}

}
