package org.pistachioline.e2e;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import org.pistachioline.standins.local.LocalDaemon;
import org.pistachioline.standins.local.LocalHttp;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;

class KilledDaemonTests {

	/** A stream of minutes, which no delay of this test outlasts. */
	private static final int OUTLASTING_TOKENS = 20_000;

	// A daemon is killed after it handed a booking to the order desk and before the
	// answer.
	// Its caller sees the connection break and repeats the booking at the two other
	// daemons,
	// over and over. A second run would send two trucks to one storefront.
	@Test
	@Tag("known-red")
	void aBookingWhoseDaemonIsKilledRunsOnceHoweverOftenItsCallerRepeatsIt() {
		try (TestSystem system = new TestSystem(3, "")) {
			system.serviceDelay(60_000);
			final LocalDaemon killed = system.daemon(0);
			final CompletableFuture<Integer> first = CompletableFuture
				.supplyAsync(() -> system.book(killed, "truck-9").statusCode());
			LocalHttp.await("the booking to run", () -> system.runs("truck-9") == 1);
			killed.process().kill();
			assertThatThrownBy(first::join).isNotNull();
			system.serviceDelay(0);
			for (int repeat = 0; repeat < 4; repeat++) {
				final int status = system.book(system.daemon(1 + repeat % 2), "truck-9").statusCode();
				assertThat(status).isNotEqualTo(200);
			}
			assertThat(system.runs("truck-9")).isEqualTo(1);
			assertThat(system.book(system.daemon(1), "truck-10").statusCode()).isEqualTo(200);
		}
	}

	// A daemon is killed in the middle of a stream. The caller's connection breaks, it
	// asks
	// another address again and must get the whole text, not the rest of the first.
	@Test
	@Tag("known-red")
	void aCallerWhoseDaemonIsKilledMidStreamGetsTheWholeAnswerAtAnother() throws Exception {
		try (TestSystem system = new TestSystem(2, "")) {
			final CallerStream broken = CallerStream.open(system.daemon(0), OUTLASTING_TOKENS);
			broken.awaitTokens(10);
			system.daemon(0).process().kill();
			assertThat(catchThrowable(broken::readToEnd)).as(broken::describe).isInstanceOf(IOException.class);
			assertThat(CallerStream.open(system.daemon(1), 50).readToEnd())
				.isEqualTo(CallerStream.whole(50) + "|[DONE]");
		}
	}

}
