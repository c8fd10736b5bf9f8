package org.pistachioline.daemon.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.apache.pekko.actor.typed.ActorSystem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.adapters.web.Connector;
import org.pistachioline.adapters.web.DirectConnector;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.core.quarantine.GossipQuarantine;
import org.pistachioline.core.retry.RetryBudget;
import org.pistachioline.core.route.CallerBounds;
import org.pistachioline.core.route.Route;
import org.pistachioline.core.route.RouteKind;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.route.ServiceSpec;
import org.pistachioline.core.route.WeightedService;
import org.pistachioline.core.traffic.RoutingPolicies;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.port.InstanceListener;
import org.pistachioline.daemon.traffic.LimitShareUpdater;
import org.pistachioline.daemon.traffic.NoClaims;
import org.pistachioline.daemon.traffic.TraceRecorder;
import org.pistachioline.daemon.traffic.TrafficDuty;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The relay before targets that stop in the middle of an answer and close.
 */
@Timeout(60)
class CutAnswerRelayTests {

	private static final String SERVICE = "copy";

	private static final String SECOND_WHOLE = "HTTP/1.1 200 OK\r\nAnswered-By: second\r\nContent-Length: 6\r\n\r\nsecond";

	private static final String SECOND_STREAM = "HTTP/1.1 200 OK\r\nAnswered-By: second\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n";

	private static final int READ_TIMEOUT_MILLIS = 20_000;

	private final ActorSystem<Void> system = ActorSystems.create("cut-answer-test");

	private final WebLoop loop = new WebLoop("relay");

	private final TrafficDuty traffic = new TrafficDuty(this.system,
			new TrafficCore(RoutingPolicies.create("", 1, new RetryBudget(1, 100, Duration.ofSeconds(1).toNanos()),
					() -> 1, new GossipQuarantine())),
			new NoClaims(), new LimitShareUpdater("d", () -> Set.of("d"), 1_000), (suspect, nowMillis) -> {
				// No target crashes.
			}, new TraceRecorder(false));

	private final ScriptedTarget target = new ScriptedTarget();

	private Relay relay;

	@BeforeEach
	void start() throws IOException {
		this.target.start();
		this.traffic.start();
		// One server plays both, so that the script holds for whichever is chosen.
		this.traffic.onTargets(Stream.of("t@0", "u@0")
			.map((id) -> new TargetView(id, TargetKind.SERVICE, SERVICE, this.target.address(), 0, "", true, 100, 0, 0,
					0))
			.toList());
		final RouteTable table = new RouteTable(1,
				List.of(route("safe", RouteKind.SAFE, false), route("unsafe", RouteKind.UNSAFE, false),
						route("stream", RouteKind.STREAM, false), route("resumable", RouteKind.STREAM, true)),
				List.of(new ServiceSpec(SERVICE, 100, Optional.empty())), List.of(), CallerBounds.DEFAULT);
		final Connector direct = new DirectConnector(this.loop, 1_000);
		this.relay = new Relay(this.loop, "127.0.0.1:0", new StubProtocol(), () -> table, this.traffic,
				(targetId, load) -> {
					// Loads are not part of these tests.
				}, new NoSignals(), direct);
		this.relay.start();
	}

	@AfterEach
	void stop() {
		this.relay.stop();
		this.traffic.stop();
		this.target.stop();
		this.system.terminate();
	}

	private static Route route(String name, RouteKind kind, boolean resumable) {
		return new Route(name, "h", "/" + name + "/", kind, 60_000, 60_000, 500, 2, 1, true, resumable,
				List.of(new WeightedService(SERVICE, 1)));
	}

	private static Stream<Arguments> cuts() {
		return Stream
			.of("", "HTTP/1.1 200", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nAnswered",
					"HTTP/1.1 200 OK\r\nAnswered-By: fi", "HTTP/1.1 200 OK\r\nAnswered-By: first\r\n",
					"HTTP/1.1 200 OK\r\nContent-Length: 5", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
					"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
					"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfir", "HTTP/1.1 103 Early Hints\r\nLink: a",
					"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\nother",
					"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5",
					"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\nTrai",
					"HTTP/1.1 200 OK\r\n\u0000\u0001\u0002")
			.flatMap((text) -> Stream.of(Arguments.of(text, false), Arguments.of(text, true)));
	}

	// Guards against a success that is made of a part of an answer, where another target
	// can give a whole one.
	@ParameterizedTest
	@MethodSource("cuts")
	void aSafeRequestIsAnsweredByTheNextTarget(String cut, boolean reset) throws IOException {
		this.target.script(new ScriptedTarget.Ending(cut, reset), new ScriptedTarget.Ending(SECOND_WHOLE, false));
		assertThat(call("safe")).startsWith("HTTP/1.1 200 ").endsWith("\r\n\r\nsecond");
		assertThat(this.target.requests()).isEqualTo(2);
	}

	// Guards against the same on a connection that has carried an answer before.
	@ParameterizedTest
	@MethodSource("cuts")
	void aSafeRequestOnAKeptConnectionIsAnsweredByTheNextTarget(String cut, boolean reset) throws IOException {
		this.target.script(ScriptedTarget.Ending.kept(SECOND_WHOLE), new ScriptedTarget.Ending(cut, reset),
				new ScriptedTarget.Ending(SECOND_WHOLE, false));
		assertThat(call("safe")).endsWith("\r\n\r\nsecond");
		assertThat(call("safe")).startsWith("HTTP/1.1 200 ").endsWith("\r\n\r\nsecond");
		assertThat(this.target.requests()).isEqualTo(3);
		assertThat(this.target.connections()).isEqualTo(2);
	}

	// Guards against a request that runs twice, and against a status that promises that
	// it has not run.
	@ParameterizedTest
	@MethodSource("cuts")
	void anUnsafeRequestIsAnsweredWithAnErrorThatPromisesNothing(String cut, boolean reset) throws IOException {
		this.target.script(new ScriptedTarget.Ending(cut, reset), new ScriptedTarget.Ending(SECOND_WHOLE, false));
		assertThat(call("unsafe")).startsWith("HTTP/1.1 502 ").doesNotContain("first").doesNotContain("second");
		assertThat(this.target.requests()).isEqualTo(1);
	}

	// Guards against a stream that seems to have ended before its first event.
	@ParameterizedTest
	@MethodSource("cuts")
	void aStreamThatMayBeResumedComesFromTheNextTarget(String cut, boolean reset) throws IOException {
		this.target.script(new ScriptedTarget.Ending(cut, reset), new ScriptedTarget.Ending(SECOND_STREAM, false));
		assertThat(call("resumable")).startsWith("HTTP/1.1 200 ")
			.containsIgnoringCase("Answered-By: second")
			.endsWith("\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n");
		assertThat(this.target.requests()).isEqualTo(2);
	}

	// Guards against the same where no other target may run the request.
	@ParameterizedTest
	@MethodSource("cuts")
	void aStreamThatMayNotBeResumedIsAnsweredWithAnError(String cut, boolean reset) throws IOException {
		this.target.script(new ScriptedTarget.Ending(cut, reset), new ScriptedTarget.Ending(SECOND_STREAM, false));
		assertThat(call("stream")).startsWith("HTTP/1.1 502 ").doesNotContain("id: 1");
		assertThat(this.target.requests()).isEqualTo(1);
	}

	// The connection ends with the answer, so all that is sent is read.
	private String call(String route) throws IOException {
		final String[] address = this.relay.callerAddress().split(":");
		try (Socket caller = new Socket(address[0], Integer.parseInt(address[1]))) {
			caller.setSoTimeout(READ_TIMEOUT_MILLIS);
			caller.getOutputStream()
				.write(("GET /" + route + "/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		}
	}

	private static final class NoSignals implements InstanceListener {

		@Override
		public void onBackoff(String instanceId, long backoffMillis) {
			// The targets request no backoff.
		}

		@Override
		public void onLeaving(String instanceId) {
			// The targets do not leave.
		}

	}

}
