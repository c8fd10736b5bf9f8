package org.pistachioline.e2e;

import java.net.http.HttpResponse;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.stream.StreamAssignment;
import org.pistachioline.standins.local.LocalDaemon;
import org.pistachioline.standins.local.LocalHttp;

import static org.assertj.core.api.Assertions.assertThat;

class LargeFleetTests {

	private static final int DAEMONS = StreamAssignment.MAX_DAEMONS_ALL_FOLLOW + 2;

	// In a fleet of more than eight only two daemons follow a partition of the claims,
	// and
	// the others ask them. A caller who tries one address after the other must still get
	// its
	// truck once, also when the daemons that were asked die before anybody knows.
	@Test
	void aBookingTriedAtEveryDaemonRunsOnceAlsoWhenDaemonsDie() {
		try (TestSystem system = new TestSystem(DAEMONS, "")) {
			for (final LocalDaemon daemon : system.daemons()) {
				LocalHttp.await("all daemons to know each other", () -> daemon.dump().path("peers").size() == DAEMONS);
			}
			final Set<String> answers = new HashSet<>();
			for (final LocalDaemon daemon : system.daemons()) {
				final HttpResponse<String> answer = system.book(daemon, "truck-1");
				assertThat(answer.statusCode()).isIn(200, 409);
				if (answer.statusCode() == 200) {
					answers.add(answer.body());
				}
			}
			assertThat(answers).hasSize(1);
			assertThat(system.runs("truck-1")).isEqualTo(1);
			for (int i = 1; i < DAEMONS / 2; i++) {
				system.daemon(i).process().kill();
			}
			LocalHttp.await("a booking to be taken",
					() -> system.book(system.daemon(0), "truck-2").statusCode() == 200);
			assertThat(system.runs("truck-2")).isEqualTo(1);
			LocalHttp.await("the first booking's answer to be found again",
					() -> system.book(system.daemon(DAEMONS - 1), "truck-1").statusCode() == 200);
			assertThat(system.runs("truck-1")).isEqualTo(1);
		}
	}

}
