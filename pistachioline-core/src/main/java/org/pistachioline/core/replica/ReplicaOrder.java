package org.pistachioline.core.replica;

import java.util.List;

/**
 * An order from the planner to one instance.
 */
public sealed interface ReplicaOrder {

	/**
	 * Returns the recipient of the order.
	 * @return the instance
	 */
	ServingInstance instance();

	/**
	 * Returns the name of the group or model that the order concerns, for logs.
	 * @return the name
	 */
	String subject();

	/**
	 * Returns the name of the operation, which is sent to the instance and logged.
	 * @return the name
	 */
	String verb();

	/**
	 * An order that concerns one group and affects no other.
	 */
	sealed interface GroupOrder extends ReplicaOrder {

		/**
		 * Returns the group that the order concerns.
		 * @return the group
		 */
		GroupId group();

		@Override
		default String subject() {
			return group().name();
		}

	}

	/**
	 * Loads a model's weights onto the instance's host while the instance continues its
	 * work.
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
	 * Makes the instance a member of a group, leaving any other group.
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
	 * Makes the head of a group accept requests.
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
	 * Removes an instance from its group.
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
	 * Makes the head of a group stop accepting requests.
	 *
	 * @param instance the head
	 * @param group the group
	 * @param abortRequests whether the head aborts its requests instead of finishing them
	 */
	record Close(ServingInstance instance, GroupId group, boolean abortRequests) implements GroupOrder {

		@Override
		public String verb() {
			return "close";
		}

	}

}
