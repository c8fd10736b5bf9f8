package org.pistachioline.daemon.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;

/**
 * Answers the requests of one caller's connection, one after the other.
 * <p>
 * While a request is answered the stage goes on asking for the next one. Otherwise
 * nothing would read the connection, and a caller who left before its answer's head would
 * be noticed only when the answer is written; its target would work on for nobody. The
 * same holds for a stream whose target stands still: nothing is written then that could
 * fail, and the stream would be moved to another target for nobody.
 */
final class CallerConnectionStage extends GraphStage<FlowShape<HttpRequest, HttpResponse>> {

	private final Inlet<HttpRequest> in = Inlet.create("requests.in");

	private final Outlet<HttpResponse> out = Outlet.create("answers.out");

	private final Function<HttpRequest, HandledCall> handler;

	CallerConnectionStage(Function<HttpRequest, HandledCall> handler) {
		this.handler = handler;
	}

	@Override
	public FlowShape<HttpRequest, HttpResponse> shape() {
		return FlowShape.of(this.in, this.out);
	}

	@Override
	public GraphStageLogic createLogic(Attributes attributes) {
		return new Logic();
	}

	private final class Logic extends GraphStageLogic {

		private final Deque<HttpRequest> waiting = new ArrayDeque<>();

		private HandledCall current;

		/**
		 * The last call whose answer's head was given; its events may still be on the
		 * way.
		 */
		private HandledCall answering;

		private HttpResponse ready;

		private AsyncCallback<HttpResponse> answered;

		Logic() {
			super(CallerConnectionStage.this.shape());
			setHandler(CallerConnectionStage.this.in, new AbstractInHandler() {

				@Override
				public void onPush() {
					Logic.this.waiting.add(grab(CallerConnectionStage.this.in));
					next();
				}

				@Override
				public void onUpstreamFinish() {
					gone();
					completeStage();
				}

				@Override
				public void onUpstreamFailure(Throwable failure) {
					// The connection was reset; there is nobody to tell.
					gone();
					completeStage();
				}

			});
			setHandler(CallerConnectionStage.this.out, new AbstractOutHandler() {

				@Override
				public void onPull() {
					give();
				}

				@Override
				public void onDownstreamFinish(Throwable cause) {
					gone();
					cancelStage(cause);
				}

			});
		}

		@Override
		public void preStart() {
			this.answered = createAsyncCallback((response) -> {
				this.ready = response;
				give();
			});
			pull(CallerConnectionStage.this.in);
		}

		private void next() {
			if (this.current == null && !this.waiting.isEmpty()) {
				this.current = CallerConnectionStage.this.handler.apply(this.waiting.poll());
				this.current.answer().whenComplete((response, failure) -> this.answered.invoke(response));
			}
			if (this.waiting.isEmpty() && !hasBeenPulled(CallerConnectionStage.this.in)
					&& !isClosed(CallerConnectionStage.this.in)) {
				pull(CallerConnectionStage.this.in);
			}
		}

		private void give() {
			if (this.ready == null || !isAvailable(CallerConnectionStage.this.out)) {
				return;
			}
			final HttpResponse response = this.ready;
			this.ready = null;
			this.answering = this.current;
			this.current = null;
			push(CallerConnectionStage.this.out, response);
			next();
		}

		// For a call that has ended this changes nothing.
		private void gone() {
			if (this.answering != null) {
				this.answering.callerGone().run();
				this.answering = null;
			}
			if (this.current != null) {
				this.current.callerGone().run();
				this.current = null;
			}
		}

	}

}
