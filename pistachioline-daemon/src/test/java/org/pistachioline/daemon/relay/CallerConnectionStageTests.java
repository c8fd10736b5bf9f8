package org.pistachioline.daemon.relay;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.http.ActorSystems;

import static org.assertj.core.api.Assertions.assertThat;

class CallerConnectionStageTests {

	/** Only a test that fails waits for so long. */
	private static final long MOST_WAIT_SECONDS = 20;

	private final ActorSystem<Void> system = ActorSystems.create("caller-connection-test", Map.of());

	private final CompletableFuture<Boolean> gone = new CompletableFuture<>();

	@AfterEach
	void stop() {
		this.system.terminate();
	}

	/**
	 * A stream has begun, then its group stands still. The caller closes its connection.
	 * Nothing is written that could fail, so the stream would be resumed at another
	 * target, which works for nobody while others wait.
	 */
	@Test
	void aCallerWhoLeavesWhileItsStreamStandsStillIsNoticed() {
		final CompletableFuture<HttpResponse> head = new CompletableFuture<>();
		final BoundedSourceQueue<HttpRequest> connection = connect(
				CompletableFuture.completedFuture(HttpResponse.create()), head);
		connection.offer(HttpRequest.create("/copy/1"));
		head.orTimeout(MOST_WAIT_SECONDS, TimeUnit.SECONDS).join();
		connection.complete();
		assertThat(this.gone.orTimeout(MOST_WAIT_SECONDS, TimeUnit.SECONDS).join()).isTrue();
	}

	@Test
	void aCallerWhoLeavesBeforeItsAnswerBeginsIsNoticed() {
		final BoundedSourceQueue<HttpRequest> connection = connect(new CompletableFuture<>(),
				new CompletableFuture<>());
		connection.offer(HttpRequest.create("/copy/1"));
		connection.complete();
		assertThat(this.gone.orTimeout(MOST_WAIT_SECONDS, TimeUnit.SECONDS).join()).isTrue();
	}

	private BoundedSourceQueue<HttpRequest> connect(CompletableFuture<HttpResponse> answer,
			CompletableFuture<HttpResponse> given) {
		final HandledCall call = new HandledCall(answer, () -> this.gone.complete(true));
		return Source.<HttpRequest>queue(4)
			.via(Flow.fromGraph(new CallerConnectionStage((request) -> call)))
			.toMat(Sink.foreach(given::complete), Keep.left())
			.run(this.system);
	}

}
