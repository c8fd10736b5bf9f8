package org.pistachioline.daemon.relay;

import java.time.Duration;

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

import org.pistachioline.core.traffic.AttemptEnd;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.daemon.traffic.AttemptListener;

/**
 * Passes the whole events of one attempt on, as they arrive.
 * <p>
 * A target may stop in the middle of an event. The half would spoil the next one, which
 * comes from another target, so only whole events leave. Events that the caller has
 * already, by their ids, are dropped: a target that resumes one too early would double
 * them. The stage always completes and never fails, so that the next attempt can go on in
 * the same answer. While the caller reads slowly it tells of progress all the same, so
 * that a slow caller is not taken for a target that stands still.
 */
final class EventRelayStage extends GraphStage<FlowShape<ByteString, ByteString>> {

	/**
	 * Four times within the time after which a silent target counts as standing still.
	 */
	private static final Duration REPORT_INTERVAL = Duration.ofMillis(150);

	/** No event of the engines is near this size; it bounds the memory of one stream. */
	private static final int LARGEST_EVENT_BYTES = 256 * 1024;

	private final Inlet<ByteString> in = Inlet.create("events.in");

	private final Outlet<ByteString> out = Outlet.create("events.out");

	private final AttemptId attempt;

	private final StreamPosition position;

	private final AttemptListener listener;

	EventRelayStage(AttemptId attempt, StreamPosition position, AttemptListener listener) {
		this.attempt = attempt;
		this.position = position;
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

	private final class Logic extends TimerGraphStageLogic {

		private ByteString rest = ByteString.emptyByteString();

		private boolean over;

		private boolean told;

		private int toldEvents = EventRelayStage.this.position.events();

		Logic() {
			super(EventRelayStage.this.shape());
			setHandler(EventRelayStage.this.in, new AbstractInHandler() {

				@Override
				public void onPush() {
					take(grab(EventRelayStage.this.in));
				}

				@Override
				public void onUpstreamFinish() {
					// An answer without a length may stop anywhere and still end in
					// order.
					end(restIsBlank() ? AttemptEnd.COMPLETE : AttemptEnd.BROKEN);
					completeStage();
				}

				@Override
				public void onUpstreamFailure(Throwable failure) {
					end(AttemptEnd.BROKEN);
					completeStage();
				}

			});
			setHandler(EventRelayStage.this.out, new AbstractOutHandler() {

				@Override
				public void onPull() {
					pull(EventRelayStage.this.in);
				}

				@Override
				public void onDownstreamFinish(Throwable cause) {
					end(AttemptEnd.CANCELLED);
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
			final boolean callerIsSlow = this.told && !hasBeenPulled(EventRelayStage.this.in);
			if (!this.over && (callerIsSlow || EventRelayStage.this.position.events() > this.toldEvents)) {
				tell();
			}
		}

		private boolean restIsBlank() {
			return Logic.this.rest.utf8String().isBlank();
		}

		private void tell() {
			this.told = true;
			this.toldEvents = EventRelayStage.this.position.events();
			EventRelayStage.this.listener.onProgress(EventRelayStage.this.attempt, this.toldEvents);
		}

		private void take(ByteString chunk) {
			final ByteString all = this.rest.isEmpty() ? chunk : this.rest.concat(chunk);
			final byte[] bytes = all.toArray();
			final ByteString passed = EventRelayStage.this.position.pass(bytes);
			this.rest = ByteString.fromArray(bytes, EventRelayStage.this.position.consumedBytes(),
					bytes.length - EventRelayStage.this.position.consumedBytes());
			if (this.rest.size() > LARGEST_EVENT_BYTES) {
				end(AttemptEnd.MISMATCHED);
				completeStage();
				return;
			}
			if (passed.isEmpty()) {
				pull(EventRelayStage.this.in);
				return;
			}
			if (!this.told) {
				tell();
			}
			push(EventRelayStage.this.out, passed);
		}

		private void end(AttemptEnd how) {
			if (this.over) {
				return;
			}
			this.over = true;
			EventRelayStage.this.listener.onEnd(EventRelayStage.this.attempt, how,
					EventRelayStage.this.position.events());
		}

	}

}
