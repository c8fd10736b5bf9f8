package org.pistachioline.daemon.event;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JsonLinesConfigurationTests {

	/**
	 * Guards against the loss of the events of a shutdown: a daemon drains for seconds
	 * after the signal to stop, and its last events name the requests that it abandoned.
	 */
	@Test
	void loggingContinuesUntilTheDaemonStops() {
		assertThat(new JsonLinesConfiguration().isShutdownHookEnabled()).isFalse();
	}

}
