package org.pistachioline.adapters.http;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * One connection that carries one request at a time.
 * <p>
 * A connection whose exchange did not end well is never used again: what arrives on it
 * next could belong to the request before.
 */
final class OwnedConnection {

	private final String address;

	private final Consumer<OwnedConnection> idle;

	private final AbortableTransport transport = new AbortableTransport();

	private final BoundedSourceQueue<HttpRequest> requests;

	private CompletableFuture<HttpResponse> waiting;

	private boolean connected;

	private boolean closed;

	private volatile long idleSinceNanos;

	OwnedConnection(ActorSystem<?> system, String address, ClientConnectionSettings settings,
			Consumer<OwnedConnection> idle) {
		this.address = address;
		this.idle = idle;
		final int colon = address.lastIndexOf(':');
		final Pair<BoundedSourceQueue<HttpRequest>, CompletionStage<Done>> running = Source.<HttpRequest>queue(1)
			.viaMat(Http.get(system)
				.connectionTo(address.substring(0, colon))
				.toPort(Integer.parseInt(address.substring(colon + 1)))
				.withClientConnectionSettings(settings.withTransport(this.transport))
				.http()
				.mapMaterializedValue((connection) -> {
					connection.whenComplete((made, failure) -> onConnected(failure));
					return connection;
				}), Keep.left())
			.toMat(Sink.foreach(this::onAnswer), Keep.both())
			.run(system);
		this.requests = running.first();
		running.second().whenComplete((done, failure) -> onClosed(failure));
	}

	String address() {
		return this.address;
	}

	long idleSinceNanos() {
		return this.idleSinceNanos;
	}

	synchronized boolean isClosed() {
		return this.closed;
	}

	CompletableFuture<HttpResponse> send(HttpRequest request) {
		final CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
		synchronized (this) {
			if (this.closed) {
				answer.completeExceptionally(new NotConnectedException(this.address, null));
				return answer;
			}
			this.waiting = answer;
		}
		if (!this.requests.offer(request).equals(QueueOfferResult.enqueued())) {
			answer.completeExceptionally(new NotConnectedException(this.address, null));
			abort();
		}
		return answer;
	}

	void abort() {
		synchronized (this) {
			this.closed = true;
		}
		this.transport.abort();
	}

	private void onConnected(Throwable failure) {
		final CompletableFuture<HttpResponse> told;
		synchronized (this) {
			if (failure == null) {
				this.connected = true;
				return;
			}
			this.closed = true;
			told = this.waiting;
		}
		if (told != null) {
			told.completeExceptionally(new NotConnectedException(this.address, causeOf(failure)));
		}
	}

	private void onAnswer(HttpResponse response) {
		final CompletableFuture<HttpResponse> told;
		synchronized (this) {
			told = this.waiting;
			this.waiting = null;
		}
		if (told == null) {
			// Nobody asked: the other side sent a second answer.
			abort();
			return;
		}
		if (response.entity() instanceof HttpEntity.Strict) {
			release();
			told.complete(response);
			return;
		}
		told.complete(response.transformEntityDataBytes(Flow.<ByteString>create().watchTermination((mat, done) -> {
			done.whenComplete((ended, failure) -> onBodyEnd(failure));
			return mat;
		})));
	}

	private void onBodyEnd(Throwable failure) {
		if (failure == null) {
			release();
		}
		else {
			abort();
		}
	}

	private void release() {
		this.idleSinceNanos = System.nanoTime();
		this.idle.accept(this);
	}

	private void onClosed(Throwable failure) {
		final CompletableFuture<HttpResponse> told;
		final boolean made;
		synchronized (this) {
			this.closed = true;
			told = this.waiting;
			made = this.connected;
			this.waiting = null;
		}
		if (told != null) {
			final Throwable cause = (failure != null) ? causeOf(failure)
					: new IOException("The connection was closed before an answer");
			told.completeExceptionally(made ? cause : new NotConnectedException(this.address, cause));
		}
	}

	private static Throwable causeOf(Throwable failure) {
		return (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause() : failure;
	}

}
