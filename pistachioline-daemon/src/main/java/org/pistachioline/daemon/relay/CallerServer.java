package org.pistachioline.daemon.relay;

import java.time.Duration;
import java.util.function.Function;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.IncomingConnection;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.settings.ParserSettings;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;

import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.event.Events;

/**
 * Listens for callers whose requests are relayed.
 */
public final class CallerServer implements Lifecycle {

	private static final Duration STOP_TIMEOUT = Duration.ofMillis(200);

	private final ActorSystem<?> system;

	private final String address;

	private final Function<HttpRequest, HandledCall> handler;

	private final ServerSettings settings;

	private volatile ServerBinding binding;

	CallerServer(ActorSystem<?> system, String address, Function<HttpRequest, HandledCall> handler,
			Supplier<ParserSettings> parsing) {
		this.system = system;
		this.address = address;
		this.handler = handler;
		this.settings = ServerSettings.create(Adapter.toClassic(system))
			.withRawRequestUriHeader(true)
			.withParserSettings(parsing.get());
	}

	/**
	 * Creates a server.
	 * @param system the process's actor system
	 * @param address where to listen, as host and port
	 * @param handler answers each request
	 */
	public CallerServer(ActorSystem<?> system, String address, RelayHandler handler) {
		this(system, address, handler::handle,
				// Headers are passed on as they came, so nothing is made of their values.
				() -> ParserSettings.forServer(system).withModeledHeaderParsing(false));
	}

	@Override
	public void start() {
		final int colon = this.address.lastIndexOf(':');
		this.binding = Http.get(this.system)
			.newServerAt(this.address.substring(0, colon), Integer.parseInt(this.address.substring(colon + 1)))
			.withSettings(this.settings)
			.connectionSource()
			.toMat(Sink.foreach(this::accept), Keep.left())
			.run(this.system)
			.toCompletableFuture()
			.join();
	}

	private void accept(IncomingConnection connection) {
		try {
			connection.handleWith(Flow.fromGraph(new CallerConnectionStage(this.handler)),
					Materializer.matFromSystem(this.system));
		}
		catch (RuntimeException ex) {
			// One connection that cannot be served must not end the source of all others.
			Events.log(EventId.REQUEST_FAULT, ex, "request", "none", "address", connection.remoteAddress());
		}
	}

	@Override
	public void stop() {
		if (this.binding != null) {
			this.binding.terminate(STOP_TIMEOUT).toCompletableFuture().join();
		}
	}

	/**
	 * Returns where it listens.
	 * @return the address, as host and port; empty until it listens
	 */
	public String localAddress() {
		final ServerBinding bound = this.binding;
		return (bound != null)
				? bound.localAddress().getAddress().getHostAddress() + ":" + bound.localAddress().getPort() : "";
	}

	/**
	 * Returns whether it listens.
	 * @return whether callers can connect
	 */
	public boolean listening() {
		return this.binding != null;
	}

}
