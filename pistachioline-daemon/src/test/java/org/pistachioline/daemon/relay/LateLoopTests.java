package org.pistachioline.daemon.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorSystem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.adapters.web.Body;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.adapters.web.WebRequest;
import org.pistachioline.core.quarantine.GossipQuarantine;
import org.pistachioline.core.retry.RetryBudget;
import org.pistachioline.core.route.CallerBounds;
import org.pistachioline.core.route.Route;
import org.pistachioline.core.route.RouteKind;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.route.ServiceSpec;
import org.pistachioline.core.route.WeightedService;
import org.pistachioline.core.traffic.RoutingPolicies;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.traffic.LimitShareUpdater;
import org.pistachioline.daemon.traffic.NoClaims;
import org.pistachioline.daemon.traffic.TraceRecorder;
import org.pistachioline.daemon.traffic.TrafficDuty;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: requests that a loop handles a second late, in virtual time.
 */
class LateLoopTests {

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final RouteTable TABLE = new RouteTable(1, List.of(route("/short/", 1_500), route("/long/", 60_000)),
			List.of(new ServiceSpec("copy", 100, Optional.empty())), List.of(), CallerBounds.DEFAULT);

	private final ActorSystem<Void> system = ActorSystems.create("late-loop-test");

	private final WebLoop loop = new WebLoop("test");

	private final TrafficDuty traffic = new TrafficDuty(this.system,
			new TrafficCore(RoutingPolicies.create("", 1, new RetryBudget(1, 100, Duration.ofSeconds(1).toNanos()),
					() -> 1, new GossipQuarantine())),
			new NoClaims(), new LimitShareUpdater("d", () -> Set.of("d"), 1_000), (suspect, nowMillis) -> {
				// No target crashes.
			}, new TraceRecorder(false));

	private final List<WebAnswer> responses = new ArrayList<>();

	private long nowNanos;

	private final LoopMonitor monitor = new LoopMonitor(this.loop, () -> this.nowNanos);

	private final RelayHandler handler = new RelayHandler(() -> TABLE,
			new RelayContext(this.loop, null, new StubProtocol(), new ActiveStreams(), (requestId) -> {
				// No caller leaves.
			}, null, null, null, null, null, null, null), this.traffic, this.monitor);

	@AfterEach
	void stop() {
		this.loop.close();
		this.system.terminate();
	}

	// Guards against a late loop that takes on what it cannot serve in time.
	@Test
	void aLateLoopRefusesWhatItCannotServeInTimeAndNothingElse() {
		this.monitor.setRefusing(true);
		runLate();
		handle("/short/1");
		assertThat(this.responses).hasSize(1);
		assertThat(this.responses.get(0).status()).isEqualTo(503);
		assertThat(Double.parseDouble(this.responses.get(0).head().header("Retry-After").orElseThrow())).isBetween(0.9,
				3.6);
		handle("/long/1");
		assertThat(this.responses).hasSize(1);
		assertThat(this.monitor.refusedRequests()).isEqualTo(1);
		assertThat(this.monitor.lagMillis()).isEqualTo(900);
	}

	// Guards against a refusal where the daemon's settings do not call for it.
	@Test
	void withoutTheSettingALateLoopRefusesNothing() {
		runLate();
		handle("/short/1");
		assertThat(this.responses).isEmpty();
	}

	// Guards against refusals by a loop that is on time.
	@Test
	void aLoopOnTimeRefusesNothing() {
		this.monitor.setRefusing(true);
		for (int i = 0; i < 20; i++) {
			this.nowNanos += SECOND_NANOS / 10;
			this.monitor.tick();
			handle("/short/" + i);
		}
		assertThat(this.responses).isEmpty();
	}

	private void runLate() {
		for (int i = 0; i < 3; i++) {
			this.nowNanos += SECOND_NANOS;
			this.monitor.tick();
		}
	}

	private void handle(String path) {
		this.handler.handle(new WebRequest("GET", path, HeaderFields.of("Host", "h"), Body.EMPTY),
				new RecordingReply(this.responses, this.nowNanos));
	}

	private static Route route(String prefix, long timeoutMillis) {
		return new Route(prefix, "h", prefix, RouteKind.SAFE, timeoutMillis, timeoutMillis, 500, 2, 1, true, true,
				List.of(new WeightedService("copy", 1)));
	}

}
