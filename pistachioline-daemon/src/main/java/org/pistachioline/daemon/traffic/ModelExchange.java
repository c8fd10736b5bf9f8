package org.pistachioline.daemon.traffic;

import java.util.concurrent.CompletableFuture;

import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficAction;

/**
 * A completion: each attempt is a stream of events from an engine.
 */
abstract class ModelExchange implements Exchange {

	private static final int OK = 200;

	private final RequestInfo info;

	private final String requestIdText;

	private final byte[] bodyBytes;

	private final HttpCaller http;

	private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

	private LiveAttempt liveAttempt;

	ModelExchange(RequestInfo info, String requestIdText, byte[] engineBody, HttpCaller http) {
		this.info = info;
		this.requestIdText = requestIdText;
		this.bodyBytes = engineBody;
		this.http = http;
	}

	@Override
	public final RequestInfo info() {
		return this.info;
	}

	final String requestIdText() {
		return this.requestIdText;
	}

	final HttpCaller http() {
		return this.http;
	}

	final CompletableFuture<HttpResponse> response() {
		return this.response;
	}

	@Override
	public final void start(TrafficAction.Start start, AttemptListener listener) {
		synchronized (this) {
			this.liveAttempt = new LiveAttempt(start, listener);
		}
		this.http.stream(buildRequest(start)).whenComplete((answer, failure) -> {
			if (failure != null) {
				listener.onEnd(start.attempt(), AttemptFailures.classify(failure), start.resumeFromTokens());
			}
			else if (!markResponseReceived(start.attempt())) {
				// Cancelled while it was on its way; closing the connection ends the
				// engine's work, and keeps the connection from being used again.
				answer.entity().getDataBytes().runWith(Sink.cancelled(), this.http.system());
			}
			else if (answer.status().intValue() != OK) {
				answer.discardEntityBytes(this.http.system());
				listener.onEnd(start.attempt(), AttemptOutcome.REFUSED, start.resumeFromTokens());
			}
			else {
				relay(start, answer, listener);
			}
		});
	}

	private synchronized boolean markResponseReceived(AttemptId attempt) {
		if (!isLive(attempt)) {
			return false;
		}
		this.liveAttempt.responseReceived = true;
		return true;
	}

	private boolean isLive(AttemptId attempt) {
		return this.liveAttempt != null && attempt.equals(this.liveAttempt.start.attempt());
	}

	private void relay(TrafficAction.Start start, HttpResponse answer, AttemptListener listener) {
		final Source<ByteString, UniqueKillSwitch> source = answer.entity()
			.withoutSizeLimit()
			.getDataBytes()
			.viaMat(KillSwitches.single(), Keep.right())
			.via(new RelayStage(start.attempt(), start.resumeFromTokens(), listener));
		onEvents(source.mapMaterializedValue((killSwitch) -> {
			liveAttempt(start.attempt(), killSwitch);
			return NotUsed.getInstance();
		}));
	}

	private synchronized void liveAttempt(AttemptId attempt, UniqueKillSwitch killSwitch) {
		if (isLive(attempt)) {
			this.liveAttempt.killSwitch = killSwitch;
		}
		else {
			killSwitch.abort(new IllegalStateException("cancelled"));
		}
	}

	private HttpRequest buildRequest(TrafficAction.Start start) {
		final TargetView target = start.target();
		final String groupId = target.instanceId();
		return HttpRequest.POST("http://" + target.address() + "/v1/chat/completions")
			.withEntity(ContentTypes.APPLICATION_JSON, this.bodyBytes)
			.addHeader(RawHeader.create("Pistachioline-Attempt", start.attempt().wireForm()))
			.addHeader(RawHeader.create("Pistachioline-Group", groupId))
			.addHeader(RawHeader.create("Pistachioline-Group-Epoch", Long.toString(target.epoch())))
			.addHeader(RawHeader.create("Pistachioline-Resume-From", Integer.toString(start.resumeFromTokens())))
			.addHeader(RawHeader.create("Pistachioline-Priority", Integer.toString(this.info.priority())));
	}

	@Override
	public final void cancel(AttemptId attempt) {
		final LiveAttempt cancelled;
		synchronized (this) {
			if (!isLive(attempt)) {
				return;
			}
			cancelled = this.liveAttempt;
			this.liveAttempt = null;
		}
		if (cancelled.killSwitch != null) {
			// The relay reports the end, with the exact count of tokens passed on.
			cancelled.killSwitch.abort(new IllegalStateException("cancelled"));
		}
		else if (!cancelled.responseReceived) {
			// Nothing of a later answer can reach the caller, so the attempt is over.
			cancelled.listener.onEnd(attempt, AttemptOutcome.CANCELLED, cancelled.start.resumeFromTokens());
		}
	}

	@Override
	public final void replay(KeyOutcome outcome) {
		fail(ErrorKind.INTERNAL, RunState.UNKNOWN, 0);
	}

	/**
	 * Takes the events of an attempt that an engine accepted.
	 * @param events the events, without ids
	 */
	abstract void onEvents(Source<ByteString, NotUsed> events);

	private static final class LiveAttempt {

		private final TrafficAction.Start start;

		private final AttemptListener listener;

		private boolean responseReceived;

		private UniqueKillSwitch killSwitch;

		LiveAttempt(TrafficAction.Start start, AttemptListener listener) {
			this.start = start;
			this.listener = listener;
		}

	}

}
