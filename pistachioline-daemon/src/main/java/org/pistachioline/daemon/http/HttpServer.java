package org.pistachioline.daemon.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

import org.pistachioline.daemon.Lifecycle;

/**
 * HTTP server on one address that passes each request to a handler.
 */
public final class HttpServer implements Lifecycle {

	private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

	private final ActorSystem<?> system;

	private final String address;

	private final Function<HttpRequest, CompletionStage<HttpResponse>> handler;

	private volatile ServerBinding binding;

	/**
	 * Creates a server that listens once it is started.
	 * @param system the process's actor system
	 * @param address the address to listen on, as host and port
	 * @param handler handles each request
	 */
	public HttpServer(ActorSystem<?> system, String address,
			Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
		this.system = system;
		this.address = address;
		this.handler = handler;
	}

	@Override
	public void start() {
		final int colon = this.address.lastIndexOf(':');
		this.binding = Http.get(this.system)
			.newServerAt(this.address.substring(0, colon), Integer.parseInt(this.address.substring(colon + 1)))
			.bind(this.handler::apply)
			.toCompletableFuture()
			.join();
	}

	@Override
	public void stop() {
		if (this.binding != null) {
			this.binding.terminate(STOP_TIMEOUT).toCompletableFuture().join();
		}
	}

	/**
	 * Returns the address that the server is bound to.
	 * @return the address as host and port; empty until the server is started, since a
	 * port chosen by the system is unknown before
	 */
	public String localAddress() {
		final ServerBinding bound = this.binding;
		if (bound == null) {
			return "";
		}
		final InetSocketAddress local = bound.localAddress();
		return local.getAddress().getHostAddress() + ":" + local.getPort();
	}

}
