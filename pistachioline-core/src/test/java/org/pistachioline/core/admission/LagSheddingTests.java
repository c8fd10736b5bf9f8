package org.pistachioline.core.admission;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LagSheddingTests {

	private static final long MILLI = 1_000_000L;

	private static final int REQUESTS = 1_000;

	private final LagShedding shedding = new LagShedding(5);

	@Test
	void aProcessThatKeepsUpTakesEveryRequest() {
		samples(100, 40);
		assertThat(admitted()).isEqualTo(REQUESTS);
	}

	/**
	 * A restarted process gets its share of callers while its code is interpreted.
	 * Without refusals all of them wait in its queues until they leave.
	 */
	@Test
	void anOverrunProcessRefusesMostRequestsWithinASecond() {
		samples(10, 400);
		assertThat(admitted()).isBetween(50, 200);
	}

	@Test
	void aLongOverrunStillLetsSomeRequestsIn() {
		samples(500, 2_000);
		assertThat(admitted()).isBetween(50, 200);
	}

	/** One pause, as of a collector or a machine that stood still, is no overrun. */
	@Test
	void aSinglePauseRefusesFewRequests() {
		samples(1, 3_000);
		assertThat(admitted()).isGreaterThan(850);
		samples(5, 10);
		assertThat(admitted()).isEqualTo(REQUESTS);
	}

	@Test
	void allRequestsAreTakenAgainWhenTheOverrunEnds() {
		samples(50, 400);
		samples(31, 20);
		assertThat(admitted()).isEqualTo(REQUESTS);
	}

	private void samples(int count, long lateMillis) {
		for (int i = 0; i < count; i++) {
			this.shedding.onTimer(lateMillis * MILLI);
		}
	}

	private int admitted() {
		int admitted = 0;
		for (int i = 0; i < REQUESTS; i++) {
			admitted += (this.shedding.admits(0)) ? 1 : 0;
		}
		return admitted;
	}

}
