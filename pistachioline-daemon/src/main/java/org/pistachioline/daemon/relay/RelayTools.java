package org.pistachioline.daemon.relay;

import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.http.ConnectionPool;
import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.daemon.port.RelayDialect;

/**
 * What every exchange of a daemon shares.
 *
 * @param system the process's actor system
 * @param pool connections to targets
 * @param dialect reads and writes headers
 * @param callerGone is told the requests whose callers have gone, or got all
 * @param loads is told what targets say of their load, by target
 */
public record RelayTools(ActorSystem<?> system, ConnectionPool pool, RelayDialect dialect, LongConsumer callerGone,
		BiConsumer<String, LoadReport> loads) {

}
