package org.pistachioline.daemon.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.Body;
import org.pistachioline.adapters.web.CallerListener;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebClient;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.adapters.web.WebReply;
import org.pistachioline.adapters.web.WebRequest;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.port.InstanceListener;
import org.pistachioline.daemon.port.RelayProtocol;
import org.pistachioline.daemon.port.RelayedRequest;
import org.pistachioline.daemon.port.RequestMetadata;
import org.pistachioline.daemon.port.ResponseVerdict;
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
	 * A caller leaves in the middle of its stream. Were the end of the attempt told
	 * before the caller's leaving, the request would be sent to another target, which
	 * would begin to work for nobody and use up a part of the budget for repeats.
	 */
	@Test
	void aCallerDisconnectIsReportedBeforeTheAttemptEnds() {
		final RelayExchange exchange = exchange();
		exchange.start(new TrafficAction.Start(new AttemptId(7, 1), TARGET, 0), new RecordingAttemptListener());
		exchange.onGone();
		assertThat(this.notifications).containsExactly("gone 7", "CANCELLED");
	}

	/**
	 * A daemon that has just started runs most of a second late. A caller leaves while
	 * the order to send its request once more is on its way between two threads. Sent all
	 * the same, it would keep a target at work for nobody.
	 */
	@Test
	void noAttemptIsSentAfterTheCallerDisconnected() {
		final RelayExchange exchange = exchange();
		exchange.onGone();
		exchange.start(new TrafficAction.Start(new AttemptId(7, 2), TARGET, 0), new RecordingAttemptListener());
		assertThat(this.notifications).containsExactly("gone 7", "CANCELLED");
		assertThat(this.protocol.requestsBuilt).isZero();
	}

	/**
	 * Guards against an attempt that was decided before its target asked for rest, and
	 * that is sent after it.
	 */
	@Test
	void noAttemptIsSentToATargetThatRequestedBackoffMeanwhile() {
		this.gate.onBackoff(TARGET.targetId(), OptionalLong.of(60_000));
		exchange().start(new TrafficAction.Start(new AttemptId(7, 1), TARGET, 0), new RecordingAttemptListener());
		assertThat(this.notifications).containsExactly("WITHHELD");
		assertThat(this.protocol.requestsBuilt).isZero();
	}

	/**
	 * Guards against an attempt that is sent to a target which has said that it leaves.
	 */
	@Test
	void noAttemptIsSentToALeavingTarget() {
		this.gate.onLeaving(TARGET.targetId());
		exchange().start(new TrafficAction.Start(new AttemptId(7, 1), TARGET, 0), new RecordingAttemptListener());
		assertThat(this.notifications).containsExactly("WITHHELD");
		assertThat(this.protocol.requestsBuilt).isZero();
	}

	/**
	 * Guards against a status that promises that a request has not run where it may have:
	 * its caller would send a booking again.
	 */
	@Test
	void aRequestThatMayHaveRunIsNotRefusedAsNotRun() {
		exchange().fail(ErrorKind.NO_CAPACITY, RunState.UNKNOWN, 1_000);
		exchange().fail(ErrorKind.NO_CAPACITY, RunState.NOT_RUN, 1_000);
		exchange().fail(ErrorKind.QUARANTINED, RunState.UNKNOWN, 0);
		assertThat(this.responses).extracting(WebAnswer::status).containsExactly(502, 503, 422);
		assertThat(this.responses.get(0).head().header("Retry-After")).isEmpty();
	}

	private RelayExchange exchange() {
		final RelayContext tools = new RelayContext(Runnable::run, new WebClient(this.loop, 1_000, 1_000, 1),
				this.protocol, new ActiveStreams(), (requestId) -> this.notifications.add("gone " + requestId),
				new NoOpListener(), this.gate, new CrashProbe((address, receiver) -> receiver.accept(false),
						(crash) -> this.notifications.add("crash " + crash.targetId())));
		return new RelayExchange(info(), request(), true, tools, new CallerResponse(new RecordingReply(), () -> false));
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
		public void onEnd(AttemptId attempt, AttemptOutcome how, int tokensDelivered) {
			RelayExchangeTests.this.notifications.add(how.name());
		}

	}

	private static final class StubProtocol implements RelayProtocol {

		private int requestsBuilt;

		@Override
		public RequestMetadata readRequest(HeaderFields headers) {
			return request().metadata();
		}

		@Override
		public WebRequest toTargetRequest(RelayedRequest call, TargetView target, long leftMillis,
				Optional<String> lastEventId) {
			this.requestsBuilt++;
			return new WebRequest(call.method(), call.pathAndQuery(), call.headers(), call.body());
		}

		@Override
		public ResponseVerdict classify(RelayedRequest call, AnswerHead answer) {
			return ResponseVerdict.VALID;
		}

		@Override
		public Optional<LoadReport> load(AnswerHead answer, long nowNanos) {
			return Optional.empty();
		}

		@Override
		public OptionalDouble requestLimit(AnswerHead answer) {
			return OptionalDouble.empty();
		}

		@Override
		public OptionalLong backoffMillis(AnswerHead answer) {
			return OptionalLong.empty();
		}

		@Override
		public boolean isLeaving(AnswerHead answer) {
			return false;
		}

	}

	private static final class NoOpListener implements TargetReportListener, InstanceListener {

		@Override
		public void onLoad(String targetId, LoadReport load) {
			// No test here asks for loads.
		}

		@Override
		public void onLimit(String targetId, long sentAtNanos, OptionalDouble requestsPerSecond) {
			// No test here asks for limits.
		}

		@Override
		public void onBackoff(String instanceId, long forMillis) {
			// No test here asks for backoffs.
		}

		@Override
		public void onLeaving(String instanceId) {
			// No test here asks for targets that leave.
		}

	}

	private final class RecordingReply implements WebReply {

		@Override
		public void whole(WebAnswer answer) {
			RelayExchangeTests.this.responses.add(answer);
		}

		@Override
		public void begin(AnswerHead head) {
			// Nobody reads it.
		}

		@Override
		public void piece(byte[] bytes, int offset, int length) {
			// Nobody reads it.
		}

		@Override
		public void flush() {
			// Nobody reads it.
		}

		@Override
		public void end() {
			// Nobody reads it.
		}

		@Override
		public void breakOff() {
			// Nobody reads it.
		}

		@Override
		public boolean writable() {
			return true;
		}

		@Override
		public void listen(CallerListener listener) {
			// The test tells it by itself.
		}

	}

}
