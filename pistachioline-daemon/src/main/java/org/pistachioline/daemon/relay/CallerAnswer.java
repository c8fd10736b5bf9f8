package org.pistachioline.daemon.relay;

import java.util.concurrent.CompletableFuture;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * The one answer that a caller gets, whatever number of attempts it takes.
 */
final class CallerAnswer {

	/** A stream is resumed once or twice; more parts than this are a fault. */
	private static final int MOST_PARTS = 8;

	private final ActorSystem<?> system;

	private final Runnable callerGone;

	private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

	private BoundedSourceQueue<Source<ByteString, NotUsed>> parts;

	private boolean over;

	CallerAnswer(ActorSystem<?> system, Runnable callerGone) {
		this.system = system;
		this.callerGone = callerGone;
	}

	CompletableFuture<HttpResponse> response() {
		return this.response;
	}

	/**
	 * Takes the events of an attempt. The head of the first attempt is the answer's head.
	 * @param head the head of the target's answer
	 * @param events the events
	 */
	synchronized void stream(HttpResponse head, Source<ByteString, NotUsed> events) {
		if (this.over) {
			events.runWith(Sink.cancelled(), this.system);
			return;
		}
		if (this.parts == null) {
			begin(head);
		}
		if (!this.parts.offer(events).isEnqueued()) {
			// The caller has gone. Events that nobody reads would keep the target at
			// work.
			events.runWith(Sink.cancelled(), this.system);
		}
	}

	private void begin(HttpResponse head) {
		final Pair<BoundedSourceQueue<Source<ByteString, NotUsed>>, Source<Source<ByteString, NotUsed>, NotUsed>> queue = Source
			.<Source<ByteString, NotUsed>>queue(MOST_PARTS)
			.preMaterialize(this.system);
		this.parts = queue.first();
		final Source<ByteString, NotUsed> body = queue.second()
			.flatMapConcat((part) -> part)
			.watchTermination((mat, done) -> {
				done.whenComplete((ended, failure) -> this.callerGone.run());
				return mat;
			});
		this.response.complete(HttpResponse.create()
			.withStatus(head.status())
			.addHeaders(ConnectionHeaders.passedOn(head))
			.withEntity(HttpEntities.createChunked(head.entity().getContentType(), body)));
	}

	/**
	 * Gives a whole answer, unless one has begun.
	 * @param whole the answer
	 */
	synchronized void whole(HttpResponse whole) {
		this.over = true;
		this.response.complete(whole);
	}

	/**
	 * Ends a stream well.
	 */
	synchronized void finish() {
		this.over = true;
		if (this.parts != null && !this.parts.isCompleted()) {
			this.parts.complete();
		}
	}

	/**
	 * Ends the answer without success. A stream that has begun is broken off, so that it
	 * does not look complete.
	 * @param failure the answer, where none has begun
	 * @return whether the caller got the answer and not a broken stream
	 */
	synchronized boolean fail(HttpResponse failure) {
		this.over = true;
		if (this.parts == null) {
			return this.response.complete(failure);
		}
		if (!this.parts.isCompleted()) {
			this.parts.fail(new StreamBrokenException());
		}
		return false;
	}

	private static final class StreamBrokenException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		StreamBrokenException() {
			super("No target could go on with the stream", null, false, false);
		}

	}

}
