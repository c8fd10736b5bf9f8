package org.pistachioline.daemon.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.peer.PeerStatus;

import static org.assertj.core.api.Assertions.assertThat;

class CallerOfBehindDaemonTests {

	private final ActorSystem<Void> system = ActorSystems.create("behind-test");

	@AfterEach
	void stop() {
		this.system.terminate();
	}

	private HttpResponse response(long versionElsewhere, String path) {
		final CallerHandler handler = new CallerHandler(new View(3, versionElsewhere), null,
				new HttpCaller(this.system), new CallerLimits(1_000, 1_000, 5), "d-");
		return handler.handle(HttpRequest.GET(path)).toCompletableFuture().join();
	}

	// Guards against a caller who takes a refusal for final that rests on an old
	// configuration.
	@Test
	void aDaemonThatKnowsOfANewerConfigurationRefusesNoKeyForGood() {
		for (final String path : List.of("/v1/models", "/services/desk/1")) {
			final HttpResponse refusal = response(9, path);
			assertThat(refusal.status().intValue()).isEqualTo(503);
			assertThat(refusal.getHeader("Retry-After")).isPresent();
			assertThat(refusal.getHeader("Pistachioline-Run").orElseThrow().value()).isEqualTo("not-run");
		}
	}

	@Test
	void aDaemonWithTheNewestConfigurationRefusesByIt() {
		assertThat(response(3, "/v1/models").status().intValue()).isEqualTo(401);
		assertThat(response(9, "/nothing").status().intValue()).isEqualTo(404);
	}

	/**
	 * A ready daemon without workspaces.
	 *
	 * @param configVersion its version
	 * @param versionElsewhere the version of another daemon
	 */
	private record View(long configVersion, long versionElsewhere) implements DaemonView {

		@Override
		public Manifest manifest() {
			return Manifest.EMPTY;
		}

		@Override
		public Optional<String> notReadyReason() {
			return Optional.empty();
		}

		@Override
		public boolean leaving() {
			return false;
		}

		@Override
		public List<PeerStatus> daemons() {
			return List
				.of(new PeerStatus("other", "", "", "", "", 1, 1, this.versionElsewhere, 0, 0, true, false, 0, 0));
		}

		@Override
		public Map<String, Object> dump() {
			return Map.of();
		}

		@Override
		public Optional<String> trace() {
			return Optional.empty();
		}

		@Override
		public String metrics() {
			return "";
		}

	}

}
