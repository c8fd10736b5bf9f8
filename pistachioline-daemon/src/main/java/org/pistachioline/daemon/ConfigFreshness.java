package org.pistachioline.daemon;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.state.ConfigState;
import org.pistachioline.core.state.StalenessBound;
import org.pistachioline.daemon.agreed.StreamView;
import org.pistachioline.daemon.event.Events;

/**
 * Knows how old a daemon's configuration may be, by its own reads of the log and by what
 * its peers have read.
 */
final class ConfigFreshness {

	private final StalenessBound bound;

	private final Supplier<StreamView<ConfigState>> config;

	private final Supplier<List<PeerStatus>> peers;

	private final AtomicBoolean stale = new AtomicBoolean();

	ConfigFreshness(StalenessBound bound, Supplier<StreamView<ConfigState>> config, Supplier<List<PeerStatus>> peers) {
		this.bound = bound;
		this.config = config;
		this.peers = peers;
	}

	/**
	 * Returns how long ago the log was read with success.
	 * @return the time, in milliseconds
	 */
	long logAgeMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.config.get().readAtNanos());
	}

	/**
	 * Returns how long ago the configuration was known to be the newest.
	 * @return the time, in milliseconds
	 */
	long ageMillis() {
		final long ownAgeMillis = logAgeMillis();
		// The peers are asked only where their word can matter, as each request asks
		// this.
		return this.bound.isExceededBy(ownAgeMillis)
				? this.bound.ageMillis(ownAgeMillis, this.config.get().nextOffset(), this.peers.get()) : ownAgeMillis;
	}

	/**
	 * Returns whether the configuration is too old to go by; each change is logged.
	 * @return whether it is
	 */
	boolean isStale() {
		final long ageMillis = ageMillis();
		final boolean now = this.bound.isExceededBy(ageMillis);
		if (now != this.stale.getAndSet(now)) {
			Events.log(now ? EventId.CONFIG_STALE : EventId.CONFIG_FRESH, "version",
					this.config.get().state().version(), "age_millis", ageMillis);
		}
		return now;
	}

}
