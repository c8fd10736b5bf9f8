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
 * A completion that is streamed to its caller; all attempts go into one answer.
 */
final class StreamedExchange extends ModelExchange {

	private static final int MAX_QUEUED_STREAMS = 8;

	private final BoundedSourceQueue<Source<ByteString, NotUsed>> attemptStreams;

	private final Source<ByteString, NotUsed> responseBody;

	StreamedExchange(RequestInfo info, String requestIdText, byte[] engineBody, HttpCaller http, TrafficDuty traffic) {
		super(info, requestIdText, engineBody, http);
		final Pair<BoundedSourceQueue<Source<ByteString, NotUsed>>, Source<Source<ByteString, NotUsed>, NotUsed>> queue = Source
			.<Source<ByteString, NotUsed>>queue(MAX_QUEUED_STREAMS)
			.preMaterialize(http.system());
		this.attemptStreams = queue.first();
		this.responseBody = queue.second().flatMapConcat((part) -> part).watchTermination((mat, done) -> {
			done.whenComplete((ended, failure) -> traffic.onCallerDisconnected(info.requestId()));
			return mat;
		});
	}

	@Override
	void onEvents(Source<ByteString, NotUsed> events) {
		if (!this.attemptStreams.offer(events).isEnqueued()) {
			// The caller has gone. Events that nobody reads would keep the engine at work
			// and its connection open.
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
		final boolean headLeft = !response()
			.complete(ErrorResponses.of(requestIdText(), kind, runState, retryAfterMillis));
		if (headLeft && !this.attemptStreams.isCompleted()) {
			this.attemptStreams.offer(Source.single(ErrorResponses.event(kind, runState)));
		}
		complete();
	}

	private void complete() {
		// Where the caller has gone the answer is closed already, and closing it again is
		// a
		// fault that would keep the traffic duty from what it has to do for others.
		if (!this.attemptStreams.isCompleted()) {
			this.attemptStreams.complete();
		}
	}

}
