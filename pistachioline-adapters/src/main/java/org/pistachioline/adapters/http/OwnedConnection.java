package org.pistachioline.adapters.http;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * One connection that carries one request and its answer.
 * <p>
 * Few servers say in an answer whose it is, and a faulty one may answer a request twice,
 * the second time late. A connection that carries nothing behind its answer is the only
 * tie between the two that needs nothing from the server.
 */
final class OwnedConnection {

	private static final String TRANSFER_ENCODING = "Transfer-Encoding";

	private final String address;

	private final AbortableTransport transport = new AbortableTransport();

	private final CompletableFuture<HttpResponse> answer = new CompletableFuture<>();

	private final CompletableFuture<Done> ended = new CompletableFuture<>();

	/**
	 * Makes a connection and sends a request on it.
	 * @param system the process's actor system
	 * @param address where to, as host and port
	 * @param settings the connection's settings
	 * @param request the request
	 */
	OwnedConnection(ActorSystem<?> system, String address, ClientConnectionSettings settings, HttpRequest request) {
		this.address = address;
		final int colon = address.lastIndexOf(':');
		// The requests end with the answer: their end closes the connection's half, which
		// servers take for a caller that has disconnected.
		final Source<HttpRequest, NotUsed> requests = Source.single(request)
			.concat(Source.completionStage(this.ended).mapConcat((done) -> List.of()));
		final Pair<CompletionStage<OutgoingConnection>, CompletionStage<Done>> running = requests
			.viaMat(Http.get(system)
				.connectionTo(address.substring(0, colon))
				.toPort(Integer.parseInt(address.substring(colon + 1)))
				.withClientConnectionSettings(settings.withTransport(this.transport))
				.http(), Keep.right())
			.toMat(Sink.foreach(this::onAnswer), Keep.both())
			.run(system);
		// Whether a byte may have left is known from the connection's making alone.
		running.second()
			.whenComplete((done, failure) -> running.first()
				.whenComplete((connection, notMade) -> onClosed(failure, notMade)));
	}

	/**
	 * Returns the answer's head, with its body as a stream.
	 * @return the answer; fails with {@link NotConnectedException} where no connection
	 * was made, and with anything else where the request may have been read
	 */
	CompletableFuture<HttpResponse> answer() {
		return this.answer;
	}

	/**
	 * Closes the connection at once, which makes the other side drop the work.
	 */
	void abort() {
		this.transport.abort();
	}

	private void onAnswer(HttpResponse response) {
		// The parser has decoded chunks, and keeps the field where it names anything
		// else.
		if (response.getHeader(TRANSFER_ENCODING).isPresent()) {
			this.answer.completeExceptionally(new IOException("The answer's transfer coding is not known"));
			abort();
			return;
		}
		if (response.entity() instanceof HttpEntity.Strict) {
			this.ended.complete(Done.getInstance());
			this.answer.complete(response);
			return;
		}
		this.answer.complete(response.transformEntityDataBytes(Flow.<ByteString>create()
			.concatLazy(Source.lazySource(this::onBodyEnd))
			.watchTermination((mat, done) -> {
				// Nothing changes where the body has ended.
				done.whenComplete((ended, failure) -> onBodyLeft());
				return mat;
			})));
	}

	private Source<ByteString, NotUsed> onBodyEnd() {
		this.ended.complete(Done.getInstance());
		return Source.empty();
	}

	private void onBodyLeft() {
		if (!this.ended.isDone()) {
			abort();
		}
	}

	private void onClosed(Throwable failure, Throwable notMade) {
		if (notMade != null) {
			this.answer.completeExceptionally(new NotConnectedException(this.address, causeOf(notMade)));
		}
		else {
			this.answer.completeExceptionally((failure != null) ? causeOf(failure)
					: new IOException("The connection was closed before an answer"));
		}
	}

	private static Throwable causeOf(Throwable failure) {
		return (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause() : failure;
	}

}
