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

	private static final int MAX_EVENT_BYTES = 256 * 1024;

	/** How often progress is told; a target's speed shows before a long answer ends. */
	private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

	private static final int MAX_POSITION_DIGITS = 9;

	private static final String END_POSITION = "end";

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

		private final byte[] idPrefix = (RelayStage.this.attempt.wireForm() + ":").getBytes(StandardCharsets.US_ASCII);

		private ByteString partialEvent = ByteString.emptyByteString();

		private boolean partialEndsWithNewline;

		private int deliveredTokens = RelayStage.this.resumeFromTokens;

		private boolean endReported;

		private boolean endSeen;

		private boolean doneSeen;

		private int reportedTokens = RelayStage.this.resumeFromTokens;

		Logic() {
			super(RelayStage.this.shape());
			setHandler(RelayStage.this.in, new AbstractInHandler() {

				@Override
				public void onPush() {
					onChunk(grab(RelayStage.this.in));
				}

				@Override
				public void onUpstreamFinish() {
					completeWith(ByteString.emptyByteString(), AttemptOutcome.BROKEN);
				}

				@Override
				public void onUpstreamFailure(Throwable failure) {
					completeWith(ByteString.emptyByteString(), AttemptOutcome.BROKEN);
				}

			});
			setHandler(RelayStage.this.out, new AbstractOutHandler() {

				@Override
				public void onPull() {
					pull(RelayStage.this.in);
				}

				@Override
				public void onDownstreamFinish(Throwable cause) {
					reportEnd(AttemptOutcome.CANCELLED);
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
			if (!this.endReported && (callerIsSlow || this.deliveredTokens > this.reportedTokens)) {
				reportProgress();
			}
		}

		private void reportProgress() {
			this.reportedTokens = this.deliveredTokens;
			RelayStage.this.listener.onProgress(RelayStage.this.attempt, this.deliveredTokens);
		}

		private void completeWith(ByteString passed, AttemptOutcome unlessComplete) {
			reportEnd(this.endSeen ? AttemptOutcome.COMPLETE : unlessComplete);
			final boolean addDone = this.endSeen && !this.doneSeen;
			final ByteString last = addDone ? passed.concat(DONE_EVENT) : passed;
			if (last.isEmpty()) {
				completeStage();
			}
			else {
				emit(RelayStage.this.out, last, () -> completeStage());
			}
		}

		private void onChunk(ByteString chunk) {
			if (!endsEvent(chunk) && this.partialEvent.size() + chunk.size() <= MAX_EVENT_BYTES) {
				// Only what is new is searched: a large event in many small pieces would
				// otherwise be copied and searched anew for each piece.
				this.partialEvent = this.partialEvent.concat(chunk);
				pull(RelayStage.this.in);
				return;
			}
			final byte[] bytes = this.partialEvent.concat(chunk).toArray();
			final ByteStringBuilder passed = new ByteStringBuilder();
			int start = 0;
			int eventEnd = endOfEvent(bytes, start);
			while (eventEnd >= 0) {
				if (!appendIfExpected(bytes, start, eventEnd, passed)) {
					completeWith(passed.result(), AttemptOutcome.MISMATCHED);
					return;
				}
				start = eventEnd;
				eventEnd = endOfEvent(bytes, start);
			}
			this.partialEvent = ByteString.fromArray(bytes, start, bytes.length - start);
			this.partialEndsWithNewline = !this.partialEvent.isEmpty() && bytes[bytes.length - 1] == '\n';
			if (this.partialEvent.size() > MAX_EVENT_BYTES) {
				completeWith(passed.result(), AttemptOutcome.MISMATCHED);
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
			final boolean acrossTheCut = this.partialEndsWithNewline && bytes.length > 0 && bytes[0] == '\n';
			this.partialEndsWithNewline = (bytes.length > 0) ? bytes[bytes.length - 1] == '\n'
					: this.partialEndsWithNewline;
			return acrossTheCut || endOfEvent(bytes, 0) >= 0;
		}

		private boolean appendIfExpected(byte[] bytes, int start, int eventEnd, ByteStringBuilder passed) {
			if (eventEnd - start > MAX_EVENT_BYTES) {
				return false;
			}
			int dataStart = start;
			if (startsWith(bytes, start, ID_FIELD)) {
				final int idStart = start + ID_FIELD.length;
				dataStart = endOfLine(bytes, idStart, eventEnd);
				if (this.endSeen || !startsWith(bytes, idStart, this.idPrefix)
						|| !acceptPosition(bytes, idStart + this.idPrefix.length, dataStart - 1)) {
					return false;
				}
			}
			else if (!this.endSeen || this.doneSeen) {
				return false;
			}
			else {
				this.doneSeen = true;
			}
			passed.putBytes(bytes, dataStart, eventEnd - dataStart);
			return true;
		}

		private boolean acceptPosition(byte[] bytes, int start, int end) {
			final String place = new String(bytes, start, Math.max(0, end - start), StandardCharsets.US_ASCII);
			if (place.equals(END_POSITION)) {
				this.endSeen = true;
				return true;
			}
			if (place.isEmpty() || place.length() > MAX_POSITION_DIGITS) {
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
			if (position != this.deliveredTokens) {
				return false;
			}
			this.deliveredTokens++;
			if (this.deliveredTokens == RelayStage.this.resumeFromTokens + 1) {
				reportProgress();
			}
			return true;
		}

		private void reportEnd(AttemptOutcome how) {
			if (!this.endReported) {
				this.endReported = true;
				RelayStage.this.listener.onEnd(RelayStage.this.attempt, how, this.deliveredTokens);
			}
		}

	}

}
