package org.pistachioline.daemon.duty;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorSystem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.event.EventRecorder;

import static org.assertj.core.api.Assertions.assertThat;

class DutyTests {

	private static final long TIMEOUT_SECONDS = 30;

	private final EventRecorder events = new EventRecorder();

	// Without the fix the actor system would end the process that runs the tests.
	private final ActorSystem<Void> system = ActorSystems.create("duty-test",
			Map.of("pekko.jvm-exit-on-fatal-error", "off"));

	@AfterEach
	void stop() {
		this.system.terminate();
		this.events.close();
	}

	/**
	 * Guards against a process that ends with each message which exhausts the stack, and
	 * ends again when the message is read anew at its next start.
	 * @throws Exception if the duty does not go on
	 */
	@Test
	void aMessageThatExhaustsTheStackIsLoggedAndTheNextOneIsHandled() throws Exception {
		final CompletableFuture<Integer> handled = new CompletableFuture<>();
		final Duty<Integer> duty = new Duty<>(this.system, "deep", 4, Duration.ofSeconds(1), new DutyHandler<>() {

			@Override
			public void onMessage(Integer depth) {
				handled.complete(recurse(depth));
			}

			@Override
			public void onTick() {
				// Only messages matter here.
			}

		});
		duty.start();
		duty.put(Integer.MAX_VALUE);
		duty.put(2);
		assertThat(handled.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(2);
		assertThat(this.events.events(EventId.DUTY_FAILED)).hasSize(1);
		duty.stop();
	}

	private static int recurse(int depth) {
		return (depth == 0) ? 0 : 1 + recurse(depth - 1);
	}

}
