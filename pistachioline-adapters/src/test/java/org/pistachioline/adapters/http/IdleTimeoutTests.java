package org.pistachioline.adapters.http;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.junit.jupiter.api.Test;

import org.pistachioline.core.manifest.ManifestValidator;

import static org.assertj.core.api.Assertions.assertThat;

class IdleTimeoutTests {

	private final Config config = ConfigFactory.load("pistachioline");

	// A proof of twenty thousand tokens that is not streamed takes minutes, and nothing
	// moves on its caller's connection meanwhile. With an idle timeout below the deadline
	// the
	// connection was closed after 75 s and the caller never heard what came of it.
	@Test
	void noConnectionCountsAsIdleBeforeTheLongestRequestHasEnded() {
		assertThat(this.config.getDuration("pekko.http.server.idle-timeout").toMillis())
			.isGreaterThan(ManifestValidator.MAX_REQUEST_MILLIS);
		assertThat(this.config.getDuration("pekko.http.client.idle-timeout").toMillis())
			.isGreaterThan(ManifestValidator.MAX_REQUEST_MILLIS);
	}

}
