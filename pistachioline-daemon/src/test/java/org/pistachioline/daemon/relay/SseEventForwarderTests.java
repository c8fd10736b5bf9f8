package org.pistachioline.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.daemon.traffic.AttemptListener;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: targets whose events come in very many pieces.
 */
@Timeout(10)
class SseEventForwarderTests {

	private static final int LARGE_EVENT_BYTES = 250_000;

	private final StreamPosition position = new StreamPosition(Optional.empty());

	private final SseEventForwarder forwarder = new SseEventForwarder(new AttemptId(1, 1), this.position,
			new IgnoredProgress());

	private final CallerResponse response = new CallerResponse(new RecordingReply(new ArrayList<>(), 0));

	// Guards against a daemon that is busy for many seconds with one event, since each
	// piece costs as much as all pieces before it.
	@Test
	void anEventInManyPiecesIsForwarded() {
		send("data: ");
		for (int i = 0; i < LARGE_EVENT_BYTES; i++) {
			assertThat(send("p")).isTrue();
		}
		assertThat(this.position.deliveredEvents()).isZero();
		send("\n");
		send("\n");
		assertThat(this.position.deliveredEvents()).isOne();
		assertThat(this.forwarder.outcomeAtEnd()).isEqualTo(AttemptOutcome.COMPLETE);
	}

	// Guards against an event whose end is missed because it is cut between two pieces.
	@Test
	void cutsWithinTheEndOfAnEventChangeNothing() {
		for (final String end : new String[] { "\n\n", "\r\n\r\n" }) {
			("id: 1" + end).chars().forEach((c) -> send(String.valueOf((char) c)));
		}
		send("id: 2\n\nid: 3\n");
		assertThat(this.position.lastEventId()).contains("2");
		assertThat(this.forwarder.outcomeAtEnd()).isEqualTo(AttemptOutcome.BROKEN);
		send("\n");
		assertThat(this.position.lastEventId()).contains("3");
		assertThat(this.forwarder.outcomeAtEnd()).isEqualTo(AttemptOutcome.COMPLETE);
	}

	private boolean send(String bytes) {
		return this.forwarder.forward(bytes.getBytes(StandardCharsets.US_ASCII), this.response);
	}

	private static final class IgnoredProgress implements AttemptListener {

		@Override
		public void onProgress(AttemptId attempt, int tokensDelivered) {
			// Progress is not part of these tests.
		}

		@Override
		public void onEnd(AttemptId attempt, AttemptOutcome outcome, int tokensDelivered) {
			// The attempts of these tests go on.
		}

	}

}
