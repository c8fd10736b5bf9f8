package org.pistachioline.daemon.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.Body;
import org.pistachioline.adapters.web.CloseCause;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebClient;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.adapters.web.WebRequest;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.route.CallerBounds;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.FailureReason;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.event.EventRecorder;
import org.pistachioline.daemon.port.RelayedRequest;
import org.pistachioline.daemon.port.RequestMetadata;
import org.pistachioline.daemon.traffic.AttemptListener;

import static org.assertj.core.api.Assertions.assertThat;

class IncompleteResponsesTests {

	private static final long NOW_NANOS = 1_000_000_000L;

	private static final AttemptId ATTEMPT = new AttemptId(7, 1);

	private static final TrafficAction.Fail NO_TARGET_LEFT = new TrafficAction.Fail(7, ErrorKind.TARGET_FAILED,
			RunState.RAN, 0, FailureReason.NO_TARGET);

	private static final RouteTable TABLE = new RouteTable(3, List.of(), List.of(), List.of(), CallerBounds.DEFAULT);

	private final WebLoop loop = new WebLoop("test");

	private final List<WebAnswer> responses = new ArrayList<>();

	private final List<String> disconnected = new ArrayList<>();

	private final IncompleteResponses incomplete = new IncompleteResponses(
			new ConfigurationAge(() -> TABLE, () -> NOW_NANOS));

	private final RelayContext context = new RelayContext(Runnable::run, new WebClient(this.loop, 1_000, 1_000, 1),
			new StubProtocol(), new ActiveStreams(), (requestId) -> this.disconnected.add("gone " + requestId), null,
			new BackoffGate(null, () -> NOW_NANOS), null, this.incomplete, new KeptResponses(Long.MAX_VALUE),
			new UnexpectedResponses(), new MalformedResponses());

	private final RelayExchange exchange = new RelayExchange(
			new RequestInfo(7, "", TargetKind.MODEL, "pool/m", 100, 60, 0, Long.MAX_VALUE, Long.MAX_VALUE, true,
					ClaimRequirement.NONE, "", List.of()),
			new RelayedRequest(new RequestMetadata("r7", OptionalLong.empty(), Optional.empty(), Optional.empty(), 100,
					60, Optional.empty()), "POST", "/copy/1", HeaderFields.EMPTY, Body.EMPTY, Optional.empty()),
			true, this.context, new CallerResponse(new RecordingReply(this.responses, NOW_NANOS)));

	private final EventRecorder events = new EventRecorder();

	private ServerSocket silentTarget;

	@BeforeEach
	void listen() throws IOException {
		this.silentTarget = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
	}

	@AfterEach
	void stop() throws IOException {
		this.events.close();
		this.loop.close();
		this.silentTarget.close();
	}

	// Guards against a stream that is broken off without a line that names the decision.
	@Test
	void aStreamThatIsBrokenOffIsLoggedOnceWithItsReason() {
		startStreamWithOneEvent();
		this.exchange.cancel(ATTEMPT);
		this.exchange.fail(NO_TARGET_LEFT);
		assertThat(logged()).containsExactly(fields("no_target", "i-1@1 cancelled"));
		assertThat(this.incomplete.count("no_target")).isOne();
		assertThat(this.incomplete.count("internal")).isZero();
		assertThat(this.events.events(EventId.REQUEST_FAILED)).singleElement()
			.satisfies(
					(failed) -> assertThat(failed).containsEntry("reason", "no_target").containsEntry("status", "0"));
	}

	// Guards against a connection that the daemon closes under a request without a trace.
	@Test
	void aConnectionThatTheDaemonClosesIsLoggedOnce() {
		startStreamWithOneEvent();
		this.exchange.onClosing(CloseCause.CONNECTION_FAILED);
		this.exchange.onGone();
		this.exchange.fail(NO_TARGET_LEFT);
		assertThat(logged()).containsExactly(fields("connection_failed", "i-1@1 running"));
		assertThat(this.incomplete.count("connection_failed")).isOne();
		assertThat(this.incomplete.count("no_target")).isZero();
	}

	// Guards against callers' disconnects that are counted as responses cut off.
	@Test
	void aCallerWhoDisconnectedIsNotLogged() {
		startStreamWithOneEvent();
		this.exchange.onGone();
		this.exchange.fail(new TrafficAction.Fail(7, ErrorKind.CALLER_GONE, RunState.UNKNOWN, 0,
				FailureReason.CALLER_DISCONNECTED));
		assertThat(logged()).isEmpty();
	}

	// Guards against a failure that was decided before the caller's disconnect was known.
	@Test
	void aFailureBehindADisconnectIsNotLogged() {
		startStreamWithOneEvent();
		this.exchange.onGone();
		this.exchange.fail(NO_TARGET_LEFT);
		assertThat(logged()).isEmpty();
	}

	// Guards against error responses that are counted as incomplete.
	@Test
	void anErrorResponseIsAnAnswer() {
		this.exchange.fail(NO_TARGET_LEFT);
		assertThat(logged()).isEmpty();
		assertThat(this.responses).extracting(WebAnswer::status).containsExactly(502);
	}

	// Guards against a caller who waits forever for a request that ended without an
	// answer.
	@Test
	void aRequestThatFinishesWithoutAResponseIsAnsweredWithAnInternalError() {
		this.exchange.finish();
		assertThat(this.responses).extracting(WebAnswer::status).containsExactly(500);
		assertThat(this.events.events(EventId.REQUEST_FAILED)).singleElement()
			.satisfies((failed) -> assertThat(failed).containsEntry("kind", "internal")
				.containsEntry("reason", "internal")
				.containsEntry("run", "unknown"));
		assertThat(logged()).isEmpty();
	}

	// Guards against a stream that is left open after its second target answered with an
	// error.
	@Test
	void aStreamWhoseNextTargetSendsAnErrorResponseIsBrokenOff() {
		startStreamWithOneEvent();
		this.exchange.cancel(ATTEMPT);
		this.exchange.storeResponse(TargetResponse.of(new AnswerHead(404, HeaderFields.EMPTY), Body.EMPTY),
				AttemptOutcome.COMPLETE);
		this.exchange.finish();
		assertThat(this.responses).isEmpty();
		assertThat(logged()).containsExactly(fields("internal", "i-1@1 cancelled"));
	}

	// Guards against requests that were read behind another one and vanish with their
	// connection.
	@Test
	void aRequestThatWasNotHandledIsLogged() {
		new RelayHandler(() -> TABLE, this.context, null, null)
			.onUnhandled(new WebRequest("POST", "/copy/1", HeaderFields.EMPTY, Body.EMPTY), CloseCause.SERVER_STOPPED);
		assertThat(this.events.events(EventId.RESPONSE_INCOMPLETE)).singleElement()
			.satisfies((fields) -> assertThat(fields).containsEntry("request", "r7")
				.containsEntry("reason", "server_stopped")
				.containsEntry("attempts", "")
				.containsEntry("left_millis", "")
				.containsEntry("config_version", "3"));
		assertThat(this.incomplete.count("server_stopped")).isOne();
	}

	private void startStreamWithOneEvent() {
		final TargetView target = new TargetView("i-1@1", TargetKind.MODEL, "pool/m",
				"127.0.0.1:" + this.silentTarget.getLocalPort(), 1, "z", true, 12, 0, 0, 0);
		this.exchange.start(new TrafficAction.Start(ATTEMPT, target, 0), new NoOpAttemptListener());
		this.exchange.response().setStreamHead(new AnswerHead(200, HeaderFields.EMPTY));
		this.exchange.position()
			.forwardNewEvents("id: 1\n\n".getBytes(StandardCharsets.US_ASCII), this.exchange.response()::write);
	}

	// Without the times, which depend on the machine.
	private List<Map<String, String>> logged() {
		return this.events.events(EventId.RESPONSE_INCOMPLETE).stream().map((logged) -> {
			assertThat(Long.parseLong(logged.get("silent_millis"))).isNotNegative();
			assertThat(Long.parseLong(logged.get("left_millis"))).isPositive();
			final Map<String, String> fields = new HashMap<>(logged);
			fields.remove("silent_millis");
			fields.remove("left_millis");
			return fields;
		}).toList();
	}

	private static Map<String, String> fields(String reason, String attempts) {
		return Map.of("event", "PL-0513", "text", EventId.RESPONSE_INCOMPLETE.text(), "request", "r7", "reason", reason,
				"last_target", "i-1@1", "events", "1", "attempts", attempts, "config_version", "3", "config_age_millis",
				"0");
	}

	private static final class NoOpAttemptListener implements AttemptListener {

		@Override
		public void onProgress(AttemptId attempt, int tokensDelivered) {
			// Progress is not part of these tests.
		}

		@Override
		public void onEnd(AttemptId attempt, AttemptOutcome outcome, int tokensDelivered) {
			// The history records the ends.
		}

	}

}
