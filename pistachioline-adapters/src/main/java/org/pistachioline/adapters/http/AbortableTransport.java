package org.pistachioline.adapters.http;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ClientTransport;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;

/**
 * One TCP connection that can be cut below HTTP.
 * <p>
 * Cancelling an HTTP exchange lets its answer run to the end first, so a target would go
 * on working for a caller who has left. Cut here, the connection is reset at once,
 * whatever state the exchange is in.
 */
final class AbortableTransport extends ClientTransport {

	private volatile UniqueKillSwitch killSwitch;

	private volatile boolean aborted;

	@Override
	public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(String host, int port,
			ClientConnectionSettings settings, ActorSystem system) {
		final BidiFlow<ByteString, ByteString, ByteString, ByteString, UniqueKillSwitch> cut = BidiFlow
			.fromGraph(KillSwitches.singleBidi());
		return cut.join(ClientTransport.TCP().connectTo(host, port, settings, system), (own, connection) -> {
			this.killSwitch = own;
			if (this.aborted) {
				own.abort(new AbortedException());
			}
			return connection;
		});
	}

	void abort() {
		this.aborted = true;
		final UniqueKillSwitch own = this.killSwitch;
		if (own != null) {
			own.abort(new AbortedException());
		}
	}

	private static final class AbortedException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		AbortedException() {
			super("The connection was closed by this daemon", null, false, false);
		}

	}

}
