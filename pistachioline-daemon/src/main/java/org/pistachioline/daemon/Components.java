package org.pistachioline.daemon;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;

/**
 * Ordered components of one daemon, which are started in order and stopped in reverse
 * order. After a failed start, {@link #stop()} stops only those that were started.
 */
final class Components {

	private final List<Lifecycle> all = new ArrayList<>();

	private final Deque<Lifecycle> started = new ArrayDeque<>();

	void add(List<? extends Lifecycle> components) {
		this.all.addAll(components);
	}

	List<Lifecycle> all() {
		return Collections.unmodifiableList(this.all);
	}

	void start() {
		for (final Lifecycle component : this.all) {
			component.start();
			this.started.push(component);
		}
	}

	void stop() {
		while (!this.started.isEmpty()) {
			this.started.pop().stop();
		}
	}

}
