package org.pistachioline.daemon.traffic;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.stream.stage.TimerGraphStageLogic;
import org.apache.pekko.util.ByteString;
import org.apache.pekko.util.ByteStringBuilder;

import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;

/**
 * Passes one attempt's events on to the caller, if they are this attempt's and in order.
 * <p>
 * Each event of an engine names its attempt and its token's position. After a retry or on
 * a connection that was used before, an event of another attempt could arrive: it would
 * put one caller's text into another's answer, or double a token. Such an event is never
 * passed on, and the attempt ends as mismatched. The stage always completes, never fails,
 * so that the next attempt can go on in the same answer. Once a second it reports how far
 * it is; while the caller reads slowly it reports the same count, so that a slow caller
 * is not taken for an engine that stands still. An answer whose connection breaks after
 * its last event is complete; the end mark that callers wait for is then added here.
 */
final class RelayStage extends GraphStage<FlowShape<ByteString, ByteString>> {

	private static final int LARGEST_EVENT_BYTES = 256 * 1024;

	/** How often progress is told; a target's speed shows before a long answer ends. */
	private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

	private static final int MOST_POSITION_DIGITS = 9;

	private static final String END = "end";

	private static final ByteString DONE_EVENT = ByteString.fromString("data: [DONE]\n\n");

	private static final byte[] ID_FIELD = "id: ".getBytes(StandardCharsets.US_ASCII);

	private final Inlet<ByteString> in = Inlet.create("relay.in");

	private final Outlet<ByteString> out = Outlet.create("relay.out");

	private final AttemptId attempt;

	private final int resumeFromTokens;

	private final AttemptListener listener;

	RelayStage(AttemptId attempt, int resumeFromTokens, AttemptListener listener) {
		this.attempt = attempt;
		this.resumeFromTokens = resumeFromTokens;
		this.listener = listener;
	}

	@Override
	public FlowShape<ByteString, ByteString> shape() {
		return FlowShape.of(this.in, this.out);
	}

	@Override
	public GraphStageLogic createLogic(Attributes attributes) {
		return new Logic();
	}

	private static int endOfEvent(byte[] bytes, int start) {
		for (int i = start; i + 1 < bytes.length; i++) {
			if (bytes[i] == '\n' && bytes[i + 1] == '\n') {
				return i + 2;
			}
		}
		return -1;
	}

	private static int endOfLine(byte[] bytes, int start, int end) {
		for (int i = start; i < end; i++) {
			if (bytes[i] == '\n') {
				return i + 1;
			}
		}
		return end;
	}

	private static boolean startsWith(byte[] bytes, int start, byte[] expected) {
		return start + expected.length <= bytes.length
				&& Arrays.equals(bytes, start, start + expected.length, expected, 0, expected.length);
	}

	private final class Logic extends TimerGraphStageLogic {

		private final byte[] prefix = (RelayStage.this.attempt.wireForm() + ":").getBytes(StandardCharsets.US_ASCII);

		private ByteString rest = ByteString.emptyByteString();

		private boolean restEndsLine;

		private int tokens = RelayStage.this.resumeFromTokens;

		private boolean ended;

		private boolean sawEnd;

		private boolean sawDone;

		private int reportedTokens = RelayStage.this.resumeFromTokens;

		Logic() {
			super(RelayStage.this.shape());
			setHandler(RelayStage.this.in, new AbstractInHandler() {

				@Override
				public void onPush() {
					take(grab(RelayStage.this.in));
				}

				@Override
				public void onUpstreamFinish() {
					close(ByteString.emptyByteString(), AttemptOutcome.BROKEN);
				}

				@Override
				public void onUpstreamFailure(Throwable failure) {
					close(ByteString.emptyByteString(), AttemptOutcome.BROKEN);
				}

			});
			setHandler(RelayStage.this.out, new AbstractOutHandler() {

				@Override
				public void onPull() {
					pull(RelayStage.this.in);
				}

				@Override
				public void onDownstreamFinish(Throwable cause) {
					end(AttemptOutcome.CANCELLED);
					cancelStage(cause);
				}

			});
		}

		@Override
		public void preStart() {
			scheduleWithFixedDelay(REPORT_INTERVAL, REPORT_INTERVAL, REPORT_INTERVAL);
		}

		@Override
		public void onTimer(Object key) {
			final boolean callerIsSlow = !hasBeenPulled(RelayStage.this.in);
			if (!this.ended && (callerIsSlow || this.tokens > this.reportedTokens)) {
				report();
			}
		}

		private void report() {
			this.reportedTokens = this.tokens;
			RelayStage.this.listener.onProgress(RelayStage.this.attempt, this.tokens);
		}

		private void close(ByteString passed, AttemptOutcome unlessComplete) {
			end(this.sawEnd ? AttemptOutcome.COMPLETE : unlessComplete);
			final boolean addDone = this.sawEnd && !this.sawDone;
			final ByteString last = addDone ? passed.concat(DONE_EVENT) : passed;
			if (last.isEmpty()) {
				completeStage();
			}
			else {
				emit(RelayStage.this.out, last, () -> completeStage());
			}
		}

		private void take(ByteString chunk) {
			if (!endsEvent(chunk) && this.rest.size() + chunk.size() <= LARGEST_EVENT_BYTES) {
				// Only what is new is searched: a large event in many small pieces would
				// otherwise be copied and searched anew for each piece.
				this.rest = this.rest.concat(chunk);
				pull(RelayStage.this.in);
				return;
			}
			final byte[] bytes = this.rest.concat(chunk).toArray();
			final ByteStringBuilder passed = new ByteStringBuilder();
			int start = 0;
			int eventEnd = endOfEvent(bytes, start);
			while (eventEnd >= 0) {
				if (!pass(bytes, start, eventEnd, passed)) {
					close(passed.result(), AttemptOutcome.MISMATCHED);
					return;
				}
				start = eventEnd;
				eventEnd = endOfEvent(bytes, start);
			}
			this.rest = ByteString.fromArray(bytes, start, bytes.length - start);
			this.restEndsLine = !this.rest.isEmpty() && bytes[bytes.length - 1] == '\n';
			if (this.rest.size() > LARGEST_EVENT_BYTES) {
				close(passed.result(), AttemptOutcome.MISMATCHED);
				return;
			}
			if (passed.isEmpty()) {
				pull(RelayStage.this.in);
			}
			else {
				push(RelayStage.this.out, passed.result());
			}
		}

		private boolean endsEvent(ByteString chunk) {
			final byte[] bytes = chunk.toArray();
			final boolean acrossTheCut = this.restEndsLine && bytes.length > 0 && bytes[0] == '\n';
			this.restEndsLine = (bytes.length > 0) ? bytes[bytes.length - 1] == '\n' : this.restEndsLine;
			return acrossTheCut || endOfEvent(bytes, 0) >= 0;
		}

		private boolean pass(byte[] bytes, int start, int eventEnd, ByteStringBuilder passed) {
			if (eventEnd - start > LARGEST_EVENT_BYTES) {
				return false;
			}
			int dataStart = start;
			if (startsWith(bytes, start, ID_FIELD)) {
				final int idStart = start + ID_FIELD.length;
				dataStart = endOfLine(bytes, idStart, eventEnd);
				if (this.sawEnd || !startsWith(bytes, idStart, this.prefix)
						|| !inOrder(bytes, idStart + this.prefix.length, dataStart - 1)) {
					return false;
				}
			}
			else if (!this.sawEnd || this.sawDone) {
				return false;
			}
			else {
				this.sawDone = true;
			}
			passed.putBytes(bytes, dataStart, eventEnd - dataStart);
			return true;
		}

		private boolean inOrder(byte[] bytes, int start, int end) {
			final String place = new String(bytes, start, Math.max(0, end - start), StandardCharsets.US_ASCII);
			if (place.equals(END)) {
				this.sawEnd = true;
				return true;
			}
			if (place.isEmpty() || place.length() > MOST_POSITION_DIGITS) {
				return false;
			}
			int position = 0;
			for (int i = start; i < end; i++) {
				final int digit = bytes[i] - '0';
				if (digit < 0 || digit > 9) {
					return false;
				}
				position = position * 10 + digit;
			}
			if (position != this.tokens) {
				return false;
			}
			this.tokens++;
			if (this.tokens == RelayStage.this.resumeFromTokens + 1) {
				report();
			}
			return true;
		}

		private void end(AttemptOutcome how) {
			if (!this.ended) {
				this.ended = true;
				RelayStage.this.listener.onEnd(RelayStage.this.attempt, how, this.tokens);
			}
		}

	}

}
