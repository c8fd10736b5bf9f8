package org.pistachioline.core.stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BackoffTests {

	// The log is down for hours. When it returns, daemons must notice within seconds and
	// not all in the same moment.
	@Test
	void waitsGrowToALimitAreSpreadByJitterAndStartAfreshAfterASuccess() {
		final Backoff backoff = new Backoff(50, 2_000);
		assertThat(backoff.nextDelayMillis(0)).isEqualTo(25);
		assertThat(backoff.nextDelayMillis(1)).isEqualTo(150);
		for (int i = 0; i < 100; i++) {
			backoff.nextDelayMillis(0.5);
		}
		assertThat(backoff.nextDelayMillis(0)).isEqualTo(1_000);
		assertThat(backoff.nextDelayMillis(1)).isEqualTo(3_000);
		backoff.reset();
		assertThat(backoff.nextDelayMillis(0)).isEqualTo(25);
	}

}
