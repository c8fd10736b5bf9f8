package org.pistachioline.daemon.duty;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.event.EventRecorder;

import static org.assertj.core.api.Assertions.assertThat;

class DroppedMessagesTests {

	private final EventRecorder events = new EventRecorder();

	private long nowNanos = TimeUnit.SECONDS.toNanos(5);

	private final DroppedMessages dropped = new DroppedMessages("test-ring", () -> this.nowNanos);

	@AfterEach
	void stop() {
		this.events.close();
	}

	// Guards against a line for each of the thousands of messages that an overload drops.
	@Test
	void dropsAreLoggedAtMostOnceASecondWithTheirNumber() {
		for (int i = 0; i < 100; i++) {
			this.dropped.onDropped("order outcome");
		}
		this.nowNanos += TimeUnit.SECONDS.toNanos(1) - 1;
		this.dropped.onDropped("order outcome");
		assertThat(droppedCounts()).containsExactly("1");
		this.nowNanos++;
		this.dropped.onDropped("probe results");
		assertThat(droppedCounts()).containsExactly("1", "101");
	}

	private Iterable<String> droppedCounts() {
		return this.events.events(EventId.RING_FULL)
			.stream()
			.filter((fields) -> fields.get("ring").equals("test-ring"))
			.map((fields) -> fields.get("dropped"))
			.toList();
	}

}
