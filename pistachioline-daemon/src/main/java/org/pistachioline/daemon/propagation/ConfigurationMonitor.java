package org.pistachioline.daemon.propagation;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.propagation.VersionLag;
import org.pistachioline.core.propagation.VersionTracker;
import org.pistachioline.daemon.event.Events;

/**
 * Compares the configuration in force on this daemon with what other daemons say of
 * theirs, and logs when this daemon is behind for longer than a read usually takes. Any
 * thread may call it.
 */
public final class ConfigurationMonitor implements Supplier<VersionLag> {

	/** Longer than all daemons usually take to read a new version. */
	private static final long REPORT_MILLIS = 500;

	private final VersionTracker tracker;

	private final LongSupplier pendingReadMillis;

	private final AtomicBoolean reported = new AtomicBoolean();

	/**
	 * Creates a monitor.
	 * @param tracker tracks the versions
	 * @param pendingReadMillis returns how long the platform has not answered the present
	 * read of the configuration, in milliseconds; -1 if no read is pending
	 */
	public ConfigurationMonitor(VersionTracker tracker, LongSupplier pendingReadMillis) {
		this.tracker = tracker;
		this.pendingReadMillis = pendingReadMillis;
	}

	/**
	 * Applies what the live daemons other than this one say.
	 * @param peers the latest status of each
	 */
	public void onPeers(List<PeerStatus> peers) {
		peers.stream()
			.max(Comparator.comparingLong(PeerStatus::configVersion))
			.ifPresent((newest) -> this.tracker.onHeard(newest.configVersion(), newest.daemonId(), System.nanoTime()));
		report(get());
	}

	/**
	 * Records that a version is in force on this daemon.
	 * @param version the version
	 */
	public void onInForce(long version) {
		this.tracker.onInForce(version);
	}

	/**
	 * Returns how far this daemon is behind.
	 * @return the lag now
	 */
	@Override
	public VersionLag get() {
		return this.tracker.lag(System.nanoTime());
	}

	private void report(VersionLag lag) {
		if (lag.behindMillis() >= REPORT_MILLIS && this.reported.compareAndSet(false, true)) {
			Events.log(EventId.CONFIG_BEHIND, "version", lag.inForce(), "newest", lag.newest(), "heard_from",
					lag.heardFrom(), "behind_millis", lag.behindMillis(), "pending_read_millis",
					this.pendingReadMillis.getAsLong());
		}
		else if (!lag.isBehind() && this.reported.compareAndSet(true, false)) {
			Events.log(EventId.CONFIG_CAUGHT_UP, "version", lag.inForce());
		}
	}

}
