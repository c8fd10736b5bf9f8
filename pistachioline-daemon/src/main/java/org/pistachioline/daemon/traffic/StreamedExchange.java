package org.pistachioline.daemon.traffic;

import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * A completion that is streamed to its caller; the events of all attempts form one
 * response.
 */
final class StreamedExchange extends ModelExchange {

	private static final int MAX_QUEUED_STREAMS = 8;

	private final BoundedSourceQueue<Source<ByteString, NotUsed>> attemptStreams;

	private final Source<ByteString, NotUsed> responseBody;

	StreamedExchange(RequestInfo info, String requestIdText, byte[] bodyBytes, HttpCaller http, TrafficDuty traffic) {
		super(info, requestIdText, bodyBytes, http);
		final Pair<BoundedSourceQueue<Source<ByteString, NotUsed>>, Source<Source<ByteString, NotUsed>, NotUsed>> queue = Source
			.<Source<ByteString, NotUsed>>queue(MAX_QUEUED_STREAMS)
			.preMaterialize(http.system());
		this.attemptStreams = queue.first();
		this.responseBody = queue.second()
			.flatMapConcat((attemptStream) -> attemptStream)
			.watchTermination((mat, done) -> {
				done.whenComplete((ended, failure) -> traffic.onCallerDisconnected(info.requestId()));
				return mat;
			});
	}

	@Override
	void onEvents(Source<ByteString, NotUsed> events) {
		if (!this.attemptStreams.offer(events).isEnqueued()) {
			// The caller has disconnected. Events that nobody reads would keep the engine
			// working and its connection open.
			events.runWith(Sink.cancelled(), http().system());
			return;
		}
		response().complete(HttpResponse.create()
			.addHeader(RawHeader.create(ErrorBody.REQUEST_ID_HEADER, requestIdText()))
			.withEntity(
					HttpEntities.createChunked(ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM), this.responseBody)));
	}

	@Override
	public void finish() {
		complete();
	}

	@Override
	public void fail(ErrorKind kind, RunState runState, long retryAfterMillis) {
		final boolean headSent = !response()
			.complete(ErrorResponses.of(requestIdText(), kind, runState, retryAfterMillis));
		if (headSent && !this.attemptStreams.isCompleted()) {
			this.attemptStreams.offer(Source.single(ErrorResponses.event(kind, runState)));
		}
		complete();
	}

	private void complete() {
		// The queue is already completed if the caller has disconnected. Completing it
		// again throws an exception, which would interrupt the traffic duty's action.
		if (!this.attemptStreams.isCompleted()) {
			this.attemptStreams.complete();
		}
	}

}
