package org.pistachioline.daemon.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;
import org.apache.pekko.util.ByteStringBuilder;

import org.pistachioline.core.traffic.AttemptEnd;
import org.pistachioline.core.traffic.AttemptId;

/**
 * Passes one attempt's events on to the caller, if they are this attempt's and in order.
 * <p>
 * Each event of an engine names its attempt and its token's position. After a retry or on
 * a connection that was used before, an event of another attempt could arrive: it would
 * put one caller's text into another's answer, or double a token. Such an event is never
 * passed on, and the attempt ends as mismatched. The stage always completes, never fails,
 * so that the next attempt can go on in the same answer.
 */
final class RelayStage extends GraphStage<FlowShape<ByteString, ByteString>> {

	/**
	 * How often progress is told; the speed of a target shows before a long answer ends.
	 */
	private static final int PROGRESS_TOKENS = 32;

	private static final int LARGEST_EVENT_BYTES = 256 * 1024;

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

	private final class Logic extends GraphStageLogic {

		private final byte[] prefix = (RelayStage.this.attempt.wireForm() + ":").getBytes(StandardCharsets.US_ASCII);

		private byte[] rest = new byte[0];

		private int tokens = RelayStage.this.resumeFromTokens;

		private boolean ended;

		private boolean sawEnd;

		Logic() {
			super(RelayStage.this.shape());
			setHandler(RelayStage.this.in, new AbstractInHandler() {

				@Override
				public void onPush() {
					take(grab(RelayStage.this.in));
				}

				@Override
				public void onUpstreamFinish() {
					end(Logic.this.sawEnd ? AttemptEnd.COMPLETE : AttemptEnd.BROKEN);
					completeStage();
				}

				@Override
				public void onUpstreamFailure(Throwable failure) {
					end(Logic.this.sawEnd ? AttemptEnd.COMPLETE : AttemptEnd.BROKEN);
					completeStage();
				}

			});
			setHandler(RelayStage.this.out, new AbstractOutHandler() {

				@Override
				public void onPull() {
					pull(RelayStage.this.in);
				}

				@Override
				public void onDownstreamFinish(Throwable cause) {
					end(AttemptEnd.CANCELLED);
					cancelStage(cause);
				}

			});
		}

		private void take(ByteString chunk) {
			final byte[] bytes = joined(chunk);
			final ByteStringBuilder passed = new ByteStringBuilder();
			int start = 0;
			int eventEnd = endOfEvent(bytes, start);
			while (eventEnd >= 0) {
				if (!pass(bytes, start, eventEnd, passed)) {
					mismatch(passed);
					return;
				}
				start = eventEnd;
				eventEnd = endOfEvent(bytes, start);
			}
			this.rest = Arrays.copyOfRange(bytes, start, bytes.length);
			if (this.rest.length > LARGEST_EVENT_BYTES) {
				mismatch(passed);
				return;
			}
			if (passed.isEmpty()) {
				pull(RelayStage.this.in);
			}
			else {
				push(RelayStage.this.out, passed.result());
			}
		}

		private byte[] joined(ByteString chunk) {
			if (this.rest.length == 0) {
				return chunk.toArray();
			}
			final byte[] bytes = new byte[this.rest.length + chunk.size()];
			System.arraycopy(this.rest, 0, bytes, 0, this.rest.length);
			chunk.copyToArray(bytes, this.rest.length, chunk.size());
			return bytes;
		}

		private boolean pass(byte[] bytes, int start, int eventEnd, ByteStringBuilder passed) {
			int dataStart = start;
			if (startsWith(bytes, start, ID_FIELD)) {
				final int idStart = start + ID_FIELD.length;
				dataStart = endOfLine(bytes, idStart, eventEnd);
				if (!startsWith(bytes, idStart, this.prefix)
						|| !inOrder(bytes, idStart + this.prefix.length, dataStart - 1)) {
					return false;
				}
			}
			else if (!this.sawEnd) {
				return false;
			}
			passed.putBytes(bytes, dataStart, eventEnd - dataStart);
			return true;
		}

		private boolean inOrder(byte[] bytes, int start, int end) {
			if (bytes[start] == 'e') {
				this.sawEnd = true;
				return true;
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
			final int sinceStart = this.tokens - RelayStage.this.resumeFromTokens;
			if (sinceStart % PROGRESS_TOKENS == 1) {
				RelayStage.this.listener.onProgress(RelayStage.this.attempt, this.tokens);
			}
			return true;
		}

		private void mismatch(ByteStringBuilder passed) {
			end(AttemptEnd.MISMATCHED);
			if (!passed.isEmpty()) {
				emit(RelayStage.this.out, passed.result());
			}
			completeStage();
		}

		private void end(AttemptEnd how) {
			if (!this.ended) {
				this.ended = true;
				RelayStage.this.listener.onEnd(RelayStage.this.attempt, how, this.tokens);
			}
		}

	}

}
