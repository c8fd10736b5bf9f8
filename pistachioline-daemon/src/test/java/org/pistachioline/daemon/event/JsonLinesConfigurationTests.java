package org.pistachioline.daemon.event;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JsonLinesConfigurationTests {

	/**
	 * A daemon is told to stop and drains for some seconds. Were logging to end at the
	 * signal, nobody could see afterwards which requests it gave up.
	 */
	@Test
	void loggingContinuesUntilTheDaemonStops() {
		assertThat(new JsonLinesConfiguration().isShutdownHookEnabled()).isFalse();
	}

}
