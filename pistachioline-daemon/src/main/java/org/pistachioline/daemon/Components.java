package org.pistachioline.daemon;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;

/**
 * The parts of one daemon, which are started in order and stopped in reverse. Where one
 * fails to start, those before it can still be stopped.
 */
final class Components {

	private final List<Lifecycle> all = new ArrayList<>();

	private final Deque<Lifecycle> started = new ArrayDeque<>();

	void add(List<? extends Lifecycle> parts) {
		this.all.addAll(parts);
	}

	List<Lifecycle> all() {
		return Collections.unmodifiableList(this.all);
	}

	void start() {
		for (final Lifecycle part : this.all) {
			part.start();
			this.started.push(part);
		}
	}

	void stop() {
		while (!this.started.isEmpty()) {
			this.started.pop().stop();
		}
	}

}
