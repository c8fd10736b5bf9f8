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
 * Tracks how old a daemon's configuration may be, from its own reads of the log and from
 * the log ages in its peers' heartbeats.
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
	 * Returns the time since this daemon last read the log successfully.
	 * @return the age, in milliseconds
	 */
	long logAgeMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.config.get().readAtNanos());
	}

	/**
	 * Returns the time since the configuration was last known to be the newest.
	 * @return the age, in milliseconds
	 */
	long ageMillis() {
		final long ownAgeMillis = logAgeMillis();
		// Called for each request, so the peers' statuses are read only where they can
		// change the result.
		return this.bound.isExceededBy(ownAgeMillis)
				? this.bound.ageMillis(ownAgeMillis, this.config.get().nextOffset(), this.peers.get()) : ownAgeMillis;
	}

	/**
	 * Returns whether the configuration's age exceeds the staleness bound, and logs each
	 * change.
	 * @return whether it is stale
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
