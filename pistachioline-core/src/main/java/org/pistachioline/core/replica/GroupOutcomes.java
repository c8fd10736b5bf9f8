package org.pistachioline.core.replica;

/**
 * Applies the results of orders to the groups that they are for, as far as the instances'
 * reports do not show them.
 */
final class GroupOutcomes {

	private GroupOutcomes() {
	}

	/**
	 * Applies the result of an order.
	 * @param tracked the order's group
	 * @param order the order
	 * @param outcome the result
	 */
	static void apply(TrackedGroup tracked, ReplicaOrder.GroupOrder order, OrderOutcome outcome) {
		if (order instanceof ReplicaOrder.Close) {
			onCloseOutcome(tracked, outcome);
		}
		else if (order instanceof ReplicaOrder.Leave) {
			onLeaveOutcome(tracked, order.instance().id(), outcome);
		}
		else if (order instanceof ReplicaOrder.Join) {
			tracked.joinRefused |= outcome == OrderOutcome.FENCED || outcome == OrderOutcome.OTHER_INSTANCE
					|| outcome == OrderOutcome.INVALID;
		}
	}

	private static void onCloseOutcome(TrackedGroup tracked, OrderOutcome outcome) {
		// A head that cannot close may still be joining, so it must leave, too.
		tracked.headClosed |= outcome == OrderOutcome.STARTED || outcome == OrderOutcome.HOLDS
				|| outcome == OrderOutcome.UNFIT;
		tracked.headUnresponsive |= outcome == OrderOutcome.UNKNOWN;
		// Another process at the address holds none of the group's requests.
		tracked.headLeft |= outcome == OrderOutcome.OTHER_INSTANCE;
	}

	private static void onLeaveOutcome(TrackedGroup tracked, String instanceId, OrderOutcome outcome) {
		final boolean settled = outcome != OrderOutcome.UNKNOWN && outcome != OrderOutcome.FENCED
				&& outcome != OrderOutcome.SUPERSEDED;
		if (instanceId.equals(tracked.headId())) {
			// A head that has closed and cannot leave is outside the group.
			tracked.headLeft |= settled;
			tracked.headUnresponsive |= outcome == OrderOutcome.UNKNOWN;
		}
		else {
			tracked.followerLeft |= settled;
		}
	}

}
