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
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.http.NotConnectedException;
import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.Body;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebClient;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.event.EventRecorder;
import org.pistachioline.daemon.port.RelayedRequest;
import org.pistachioline.daemon.port.RequestMetadata;
import org.pistachioline.daemon.traffic.AttemptListener;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: targets whose responses never end.
 */
class KeptResponsesTests {

	private static final long NOW_NANOS = 1_000_000_000L;

	private static final long MAX_SUM_BYTES = 1_000_000;

	private static final int PIECE_BYTES = 8_192;

	private static final HeaderFields CHUNKED = HeaderFields.of("Transfer-Encoding", "chunked");

	private final WebLoop loop = new WebLoop("test");

	private final KeptResponses kept = new KeptResponses(MAX_SUM_BYTES);

	private final AtomicLong heldBytes = new AtomicLong();

	private final Map<Long, AttemptOutcome> outcomes = new HashMap<>();

	private final List<WebAnswer> answers = new ArrayList<>();

	private final EventRecorder events = new EventRecorder();

	private RelayContext context;

	private ServerSocket silentTarget;

	@BeforeEach
	void listen() throws IOException {
		this.silentTarget = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		final IgnoredReports reports = new IgnoredReports();
		this.context = new RelayContext(Runnable::run, new WebClient(this.loop, 1_000, 1_000, 1), new StubProtocol(),
				new ActiveStreams(), (requestId) -> {
					// No caller leaves.
				}, reports, new BackoffGate(null, () -> NOW_NANOS), null,
				new IncompleteResponses(new ConfigurationAge(() -> RouteTable.UNKNOWN, () -> NOW_NANOS)), this.kept,
				new UnexpectedResponses(), new MalformedResponses());
	}

	@AfterEach
	void stop() throws IOException {
		this.events.close();
		this.loop.close();
		this.silentTarget.close();
	}

	// Guards against responses that together use up the memory while each is within its
	// bound.
	@Test
	void theSumOfAllKeptResponsesIsBounded() {
		final List<RelayAttempt> endless = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			endless.add(begin(i, false, (i % 2 == 0) ? CHUNKED : HeaderFields.EMPTY));
		}
		while (endless.removeIf(RelayAttempt::hasEnded) || !endless.isEmpty()) {
			endless.stream().filter((attempt) -> !attempt.hasEnded()).forEach(KeptResponsesTests::receivePiece);
			assertThat(this.kept.totalBytes()).isLessThanOrEqualTo(MAX_SUM_BYTES);
		}
		assertThat(this.outcomes).hasSize(100)
			.allSatisfy((id, end) -> assertThat(end).isEqualTo(AttemptOutcome.BROKEN));
		assertThat(this.kept.totalBytes()).isZero();
		assertThat(this.kept.peakBytes()).isBetween(MAX_SUM_BYTES / 2, MAX_SUM_BYTES + 2 * 65_536);
		assertThat(this.heldBytes).hasValue(0);
		assertThat(this.events.events(EventId.RESPONSE_OVERSIZED)).isNotEmpty()
			.filteredOn((logged) -> logged.get("bound").equals("sum"))
			.hasSize((int) this.kept.endedCount());
	}

	// Guards against sound responses that are ended in place of the one without end.
	@Test
	void theLargestResponseWithoutALengthIsEndedFirst() {
		final RelayAttempt declared = begin(1, false, HeaderFields.of("Content-Length", "700000"));
		receive(declared, 699_000);
		final RelayAttempt small = begin(2, false, CHUNKED);
		receive(small, 1_000);
		final RelayAttempt endless = begin(3, false, CHUNKED);
		while (!endless.hasEnded()) {
			receivePiece(endless);
		}
		receive(declared, 1_000);
		declared.onEnd();
		small.onEnd();
		assertThat(this.outcomes).containsEntry(1L, AttemptOutcome.COMPLETE)
			.containsEntry(2L, AttemptOutcome.COMPLETE)
			.containsEntry(3L, AttemptOutcome.BROKEN);
		assertThat(this.kept.totalBytes()).isZero();
		assertThat(this.kept.endedCount()).isOne();
	}

	// Guards against memory that is kept for an attempt that its deadline, or its
	// caller's
	// disconnect, has ended.
	@Test
	void theMemoryOfACancelledAttemptIsFreedAtOnce() {
		final RelayAttempt attempt = begin(1, false, CHUNKED);
		receive(attempt, 500_000);
		assertThat(this.heldBytes.get()).isGreaterThanOrEqualTo(500_000);
		attempt.cancel();
		assertThat(this.heldBytes).hasValue(0);
		assertThat(this.kept.totalBytes()).isZero();
		assertThat(attempt.keptBytes()).isLessThan(1_000);
	}

	// Guards against the same behind a connection that breaks, before the next attempt.
	@Test
	void theMemoryOfABrokenAttemptIsFreedAtOnce() {
		final RelayAttempt attempt = begin(1, false, CHUNKED);
		receive(attempt, 500_000);
		attempt.onFailure(new NotConnectedException("target", new IOException("closed")));
		assertThat(this.heldBytes).hasValue(0);
		assertThat(this.kept.totalBytes()).isZero();
	}

	// Guards against streams that together use up the memory with events that never end.
	@Test
	void eventsThatNeverEndCountTowardsTheSum() {
		final List<RelayAttempt> streams = new ArrayList<>();
		for (int i = 0; i < 300; i++) {
			streams.add(begin(i, true, CHUNKED));
		}
		for (int round = 0; round < 20; round++) {
			streams.stream().filter((attempt) -> !attempt.hasEnded()).forEach(KeptResponsesTests::receivePiece);
			assertThat(this.kept.totalBytes()).isLessThanOrEqualTo(MAX_SUM_BYTES);
		}
		assertThat(this.outcomes).hasSizeGreaterThan(250).containsValue(AttemptOutcome.BROKEN);
		assertThat(this.kept.endedCount()).isPositive();
	}

	// Guards against a response that is read although its head says that it is too large.
	@Test
	void aDeclaredLengthBeyondTheBoundIsRefusedAtTheHead() {
		begin(1, false, HeaderFields.of("Content-Length", Long.toString(1L << 40)));
		begin(2, false, HeaderFields.of("Content-Length", "9".repeat(19)));
		assertThat(this.outcomes).containsEntry(1L, AttemptOutcome.BROKEN).containsEntry(2L, AttemptOutcome.BROKEN);
		assertThat(this.events.events(EventId.RESPONSE_OVERSIZED)).hasSize(2)
			.allSatisfy((logged) -> assertThat(logged).containsEntry("bound", "single"));
		assertThat(this.kept.totalBytes()).isZero();
	}

	// Guards against heads with very many fields, which take many times their size.
	@Test
	void theFieldsOfAHeadCountTowardsTheSum() {
		final String[] fields = new String[2_000];
		for (int i = 0; i < fields.length; i++) {
			fields[i] = "a" + i;
		}
		for (int i = 0; i < 100; i++) {
			begin(i, false, HeaderFields.of(fields));
			assertThat(this.kept.totalBytes()).isLessThanOrEqualTo(MAX_SUM_BYTES);
		}
		assertThat(this.outcomes).hasSizeGreaterThan(90);
	}

	private RelayAttempt begin(long id, boolean streaming, HeaderFields headers) {
		final TargetView target = new TargetView("i-1@1", TargetKind.MODEL, "pool/m",
				"127.0.0.1:" + this.silentTarget.getLocalPort(), 1, "z", true, 12, 0, 0, 0);
		final RelayExchange exchange = new RelayExchange(
				new RequestInfo(id, "", TargetKind.MODEL, "pool/m", 100, 60, 0, Long.MAX_VALUE, Long.MAX_VALUE, true,
						ClaimRequirement.NONE, "", List.of()),
				new RelayedRequest(new RequestMetadata("r" + id, OptionalLong.empty(), Optional.empty(),
						Optional.empty(), 100, 60, Optional.empty()), "POST", "/copy/1", HeaderFields.EMPTY, Body.EMPTY,
						Optional.empty()),
				streaming, this.context,
				new CallerResponse(new RecordingReply(this.answers, NOW_NANOS, this.heldBytes)));
		final RelayAttempt attempt = new RelayAttempt(exchange,
				new TrafficAction.Start(new AttemptId(id, 1), target, 0), new RecordedEnds());
		attempt.send(1_000);
		attempt.onHead(new AnswerHead(200, headers));
		return attempt;
	}

	private static void receivePiece(RelayAttempt attempt) {
		if (!attempt.hasEnded()) {
			attempt.onBytes("x".repeat(PIECE_BYTES).getBytes(StandardCharsets.US_ASCII));
		}
	}

	private static void receive(RelayAttempt attempt, int bytes) {
		attempt.onBytes(new byte[bytes]);
	}

	private final class RecordedEnds implements AttemptListener {

		@Override
		public void onProgress(AttemptId attempt, int tokensDelivered) {
			// Progress is not part of these tests.
		}

		@Override
		public void onEnd(AttemptId attempt, AttemptOutcome outcome, int tokensDelivered) {
			assertThat(KeptResponsesTests.this.outcomes.put(attempt.requestId(), outcome)).isNull();
		}

	}

	private static final class IgnoredReports implements TargetReportListener {

		@Override
		public void onLoad(String targetId, LoadReport load) {
			// Loads are not part of these tests.
		}

		@Override
		public void onLimit(String targetId, long sentAtNanos, OptionalDouble requestsPerSecond) {
			// Limits are not part of these tests.
		}

	}

}
