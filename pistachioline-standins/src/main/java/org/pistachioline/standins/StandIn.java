package org.pistachioline.standins;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.function.Function;

/**
 * A stand-in that answers HTTP on one address.
 */
public abstract class StandIn {

	private final ActorSystem<?> system;

	private ServerBinding binding;

	/**
	 * Creates a stand-in.
	 * @param system the process's actor system
	 */
	protected StandIn(ActorSystem<?> system) {
		this.system = system;
	}

	/**
	 * Answers one request.
	 * @param request the request
	 * @return the answer
	 */
	protected abstract CompletionStage<HttpResponse> answer(HttpRequest request);

	/**
	 * Starts to listen on loopback.
	 * @param port the port; 0 for any free one
	 * @return the address, as host and port
	 */
	public String start(int port) {
		final Function<HttpRequest, CompletionStage<HttpResponse>> handler = this::answer;
		this.binding = Http.get(this.system).newServerAt("127.0.0.1", port).bind(handler).toCompletableFuture().join();
		return "127.0.0.1:" + this.binding.localAddress().getPort();
	}

	/**
	 * Stops listening and cuts all connections.
	 */
	public void stop() {
		if (this.binding != null) {
			this.binding.terminate(java.time.Duration.ofMillis(1)).toCompletableFuture().join();
		}
	}

	/**
	 * Returns the actor system.
	 * @return the actor system
	 */
	protected ActorSystem<?> system() {
		return this.system;
	}

}
