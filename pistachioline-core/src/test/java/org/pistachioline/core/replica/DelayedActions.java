package org.pistachioline.core.replica;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Actions of a {@link ReplicaSimulation} that happen at a later virtual time; those of
 * the same time in the order in which they were added.
 */
final class DelayedActions {

	private final PriorityQueue<Action> actions = new PriorityQueue<>(
			Comparator.comparingLong(Action::atMillis).thenComparingLong(Action::number));

	private long added;

	void add(long atMillis, Runnable action) {
		this.actions.add(new Action(atMillis, this.added++, action));
	}

	void runDue(long nowMillis) {
		while (!this.actions.isEmpty() && this.actions.peek().atMillis() <= nowMillis) {
			this.actions.poll().action().run();
		}
	}

	private record Action(long atMillis, long number, Runnable action) {

	}

}
