package org.pistachioline.daemon.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.Body;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebClient;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.port.InstanceListener;
import org.pistachioline.daemon.port.RelayedRequest;
import org.pistachioline.daemon.port.RequestMetadata;
import org.pistachioline.daemon.traffic.AttemptListener;

import static org.assertj.core.api.Assertions.assertThat;

class RelayExchangeTests {

	private static final TargetView TARGET = new TargetView("i-1@1", TargetKind.MODEL, "pool/m", "127.0.0.1:9", 1, "z",
			true, 12, 0, 0, 0);

	private static final long NOW_NANOS = 1_000_000_000L;

	private final WebLoop loop = new WebLoop("test");

	private final List<String> notifications = new ArrayList<>();

	private final List<WebAnswer> responses = new ArrayList<>();

	private final StubProtocol protocol = new StubProtocol();

	private final BackoffGate gate = new BackoffGate(new NoOpListener(), () -> NOW_NANOS);

	@AfterEach
	void stop() {
		this.loop.close();
	}

	/**
	 * Guards against a request that is sent to another target after its caller
	 * disconnected in the middle of the stream. This happens if the end of the attempt is
	 * reported before the disconnect; the other target then works for nobody and the
	 * attempt uses up retry budget.
	 */
	@Test
	void aCallerDisconnectIsReportedBeforeTheAttemptEnds() {
		final RelayExchange exchange = exchange();
		exchange.start(new TrafficAction.Start(new AttemptId(7, 1), TARGET, 0), new RecordingAttemptListener());
		exchange.onGone();
		assertThat(this.notifications).containsExactly("gone 7", "CANCELLED");
	}

	/**
	 * Guards against an attempt that is sent after its caller disconnected while the
	 * start command was queued between two threads, which takes up to a second on a
	 * daemon that has just started. The target would work for nobody.
	 */
	@Test
	void noAttemptIsSentAfterTheCallerDisconnected() {
		final RelayExchange exchange = exchange();
		exchange.onGone();
		exchange.start(new TrafficAction.Start(new AttemptId(7, 2), TARGET, 0), new RecordingAttemptListener());
		assertThat(this.notifications).containsExactly("gone 7", "CANCELLED");
		assertThat(this.protocol.requestsBuilt()).isZero();
	}

	/**
	 * Guards against an attempt that was scheduled before its target requested backoff
	 * and is sent afterwards.
	 */
	@Test
	void noAttemptIsSentToATargetThatRequestedBackoffMeanwhile() {
		this.gate.onBackoff(TARGET.targetId(), OptionalLong.of(60_000));
		exchange().start(new TrafficAction.Start(new AttemptId(7, 1), TARGET, 0), new RecordingAttemptListener());
		assertThat(this.notifications).containsExactly("WITHHELD");
		assertThat(this.protocol.requestsBuilt()).isZero();
	}

	/**
	 * Guards against an attempt that is sent to a target which has announced that it is
	 * leaving.
	 */
	@Test
	void noAttemptIsSentToALeavingTarget() {
		this.gate.onLeaving(TARGET.targetId());
		exchange().start(new TrafficAction.Start(new AttemptId(7, 1), TARGET, 0), new RecordingAttemptListener());
		assertThat(this.notifications).containsExactly("WITHHELD");
		assertThat(this.protocol.requestsBuilt()).isZero();
	}

	/**
	 * Guards against an attempt that was scheduled before its target was evacuated and is
	 * sent afterwards.
	 */
	@Test
	void noAttemptIsSentToATargetThatWasEvacuatedMeanwhile() {
		this.gate.setEvacuatedTargets(TARGET.targetId()::equals);
		exchange().start(new TrafficAction.Start(new AttemptId(7, 1), TARGET, 0), new RecordingAttemptListener());
		assertThat(this.notifications).containsExactly("WITHHELD");
		assertThat(this.protocol.requestsBuilt()).isZero();
	}

	/**
	 * Guards against a caller who waits until the deadline, as an error while its request
	 * is written is told to nobody.
	 */
	@Test
	void anAttemptWhoseRequestCannotBeBuiltEndsAtOnce() {
		this.protocol.makeUnsendable();
		exchange().start(new TrafficAction.Start(new AttemptId(7, 1), TARGET, 0), new RecordingAttemptListener());
		assertThat(this.notifications).containsExactly("UNSENDABLE");
	}

	/**
	 * Guards against a status that promises that a request has not run when it may have:
	 * the caller would retry a request that is not idempotent.
	 */
	@Test
	void aRequestThatMayHaveRunIsNotRefusedAsNotRun() {
		exchange().fail(ErrorKind.NO_CAPACITY, RunState.UNKNOWN, 1_000);
		exchange().fail(ErrorKind.NO_CAPACITY, RunState.NOT_RUN, 1_000);
		exchange().fail(ErrorKind.QUARANTINED, RunState.UNKNOWN, 0);
		assertThat(this.responses).extracting(WebAnswer::status).containsExactly(502, 503, 422);
		assertThat(this.responses.get(0).head().header("Retry-After")).isEmpty();
	}

	/**
	 * Guards against a stream whose target crashes behind the head of its answer and that
	 * looks complete, since an answer without a length ends with its connection.
	 */
	@Test
	void aStreamThatEndsWithItsConnectionBeforeAnyEventIsBroken() throws IOException {
		assertThat(outcomeOfEmptyStream(HeaderFields.EMPTY)).isEqualTo("BROKEN");
		assertThat(outcomeOfEmptyStream(HeaderFields.of("Transfer-Encoding", "chunked"))).isEqualTo("COMPLETE");
		assertThat(outcomeOfEmptyStream(HeaderFields.of("Content-Length", "0"))).isEqualTo("COMPLETE");
	}

	private String outcomeOfEmptyStream(HeaderFields headers) throws IOException {
		try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			final TargetView target = new TargetView("i-1@1", TargetKind.MODEL, "pool/m",
					"127.0.0.1:" + silent.getLocalPort(), 1, "z", true, 12, 0, 0, 0);
			final RelayAttempt attempt = new RelayAttempt(exchange(),
					new TrafficAction.Start(new AttemptId(7, 1), target, 0), new RecordingAttemptListener());
			attempt.send(1_000);
			attempt.onHead(new AnswerHead(200, headers));
			attempt.onEnd();
			return this.notifications.get(this.notifications.size() - 1);
		}
	}

	private RelayExchange exchange() {
		final RelayContext context = new RelayContext(Runnable::run, new WebClient(this.loop, 1_000, 1_000, 1),
				this.protocol, new ActiveStreams(), (requestId) -> this.notifications.add("gone " + requestId),
				new NoOpListener(), this.gate,
				new CrashProbe((address, receiver) -> receiver.accept(false),
						(crash) -> this.notifications.add("crash " + crash.targetId())),
				new IncompleteResponses(new ConfigurationAge(() -> RouteTable.UNKNOWN, () -> NOW_NANOS)),
				new KeptResponses(Long.MAX_VALUE), new UnexpectedResponses(), new MalformedResponses());
		return new RelayExchange(info(), request(), true, context,
				new CallerResponse(new RecordingReply(this.responses, NOW_NANOS)));
	}

	private static RequestInfo info() {
		return new RequestInfo(7, "", TargetKind.MODEL, "pool/m", 100, 60, 0, Long.MAX_VALUE, Long.MAX_VALUE, true,
				ClaimRequirement.NONE, "", List.of());
	}

	private static RelayedRequest request() {
		return new RelayedRequest(new RequestMetadata("r7", OptionalLong.empty(), Optional.empty(), Optional.empty(),
				100, 60, Optional.empty()), "POST", "/copy/1", HeaderFields.EMPTY, Body.EMPTY, Optional.empty());
	}

	private final class RecordingAttemptListener implements AttemptListener {

		@Override
		public void onProgress(AttemptId attempt, int tokensDelivered) {
			RelayExchangeTests.this.notifications.add("progress");
		}

		@Override
		public void onEnd(AttemptId attempt, AttemptOutcome outcome, int tokensDelivered) {
			RelayExchangeTests.this.notifications.add(outcome.name());
		}

	}

	private static final class NoOpListener implements TargetReportListener, InstanceListener {

		@Override
		public void onLoad(String targetId, LoadReport load) {
			// Loads are not part of these tests.
		}

		@Override
		public void onLimit(String targetId, long sentAtNanos, OptionalDouble requestsPerSecond) {
			// Limits are not part of these tests.
		}

		@Override
		public void onBackoff(String instanceId, long backoffMillis) {
			// The listener's notifications are not part of these tests.
		}

		@Override
		public void onLeaving(String instanceId) {
			// The listener's notifications are not part of these tests.
		}

	}

}
