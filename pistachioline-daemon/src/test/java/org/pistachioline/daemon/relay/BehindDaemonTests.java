package org.pistachioline.daemon.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.web.Body;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.RequestFault;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.adapters.web.WebRequest;
import org.pistachioline.core.propagation.VersionLag;
import org.pistachioline.core.route.CallerBounds;
import org.pistachioline.core.route.Route;
import org.pistachioline.core.route.RouteKind;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.route.ServiceSpec;
import org.pistachioline.core.route.WeightedService;
import org.pistachioline.core.route.WorkspaceApiKeys;

import static org.assertj.core.api.Assertions.assertThat;

class BehindDaemonTests {

	private static final RouteTable TABLE = new RouteTable(3,
			List.of(new Route("closed", "h", "/closed/", RouteKind.SAFE, 1_500, 1_500, 500, 2, 1, false, false,
					List.of(new WeightedService("copy", 1)))),
			List.of(new ServiceSpec("copy", 100, Optional.empty())),
			List.of(new WorkspaceApiKeys("shop", List.of("00".repeat(32)), -1)), CallerBounds.DEFAULT);

	private static final VersionLag CURRENT = new VersionLag(3, 3, "", 0, false);

	private final WebLoop loop = new WebLoop("test");

	private final List<WebAnswer> responses = new ArrayList<>();

	private RouteTable table = TABLE;

	private final RelayHandler handler = new RelayHandler(() -> this.table,
			new RelayContext(this.loop, null, new StubProtocol(), new ActiveStreams(), (requestId) -> {
				// No caller leaves.
			}, null, null, null, null, null, null, null), null, new LoopMonitor(this.loop, () -> 0));

	@AfterEach
	void stop() {
		this.loop.close();
	}

	private int statusAt(String path, VersionLag lag) {
		this.handler.setConfigurationLag(() -> lag);
		this.responses.clear();
		this.handler.handle(new WebRequest("GET", path, HeaderFields.of("Host", "h"), Body.EMPTY),
				new RecordingReply(this.responses, 0));
		assertThat(this.responses).hasSize(1);
		return this.responses.get(0).status();
	}

	// Guards against a caller who takes a refusal for final that rests on an old
	// configuration.
	@Test
	void aDaemonThatIsBehindRefusesNothingForGood() {
		final VersionLag behind = new VersionLag(3, 9, "b", 10, false);
		for (final String path : List.of("/missing/1", "/closed/1")) {
			assertThat(statusAt(path, behind)).isEqualTo(503);
			assertThat(Double.parseDouble(this.responses.get(0).head().header("Retry-After").orElseThrow()))
				.isBetween(0.5, 1.0);
			assertThat(this.responses.get(0).head().header("Pistachioline-Run")).contains("not-run");
		}
	}

	// Guards against a final refusal by a daemon that has just started, before others had
	// time to tell it of a newer configuration.
	@Test
	void aDaemonThatHasJustStartedRefusesNothingForGood() {
		assertThat(statusAt("/missing/1", new VersionLag(3, 3, "", 0, true))).isEqualTo(503);
	}

	// Guards against a request that the newest configuration allows being refused for
	// good
	// by the limits of an old one, or by the defaults before one is known.
	@Test
	void sizesAreRefusedForGoodByTheNewestConfigurationOnly() {
		assertThat(statusOf(RequestFault.HEAD_TOO_LARGE, CURRENT)).isEqualTo(431);
		assertThat(statusOf(RequestFault.BODY_TOO_LARGE, CURRENT)).isEqualTo(413);
		for (final RequestFault fault : List.of(RequestFault.HEAD_TOO_LARGE, RequestFault.BODY_TOO_LARGE)) {
			assertThat(statusOf(fault, new VersionLag(3, 9, "b", 10, false))).isEqualTo(503);
		}
		assertThat(statusOf(RequestFault.HEAD_OVER_EARLIER_LIMIT, CURRENT)).isEqualTo(503);
		this.table = RouteTable.UNKNOWN;
		assertThat(statusOf(RequestFault.HEAD_TOO_LARGE, CURRENT)).isEqualTo(503);
		assertThat(statusOf(RequestFault.BODY_TOO_LARGE, CURRENT)).isEqualTo(503);
	}

	private int statusOf(RequestFault fault, VersionLag lag) {
		this.handler.setConfigurationLag(() -> lag);
		final WebAnswer answer = this.handler.onFault(fault, HeaderFields.EMPTY);
		assertThat(answer.head().header("Retry-After").isPresent()).isEqualTo(answer.status() == 503);
		return answer.status();
	}

	@Test
	void aDaemonThatIsNotBehindRefusesByItsConfiguration() {
		assertThat(statusAt("/missing/1", CURRENT)).isEqualTo(404);
		assertThat(statusAt("/closed/1", CURRENT)).isEqualTo(401);
	}

}
