package org.pistachioline.daemon.tunnel;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.pistachioline.core.peer.PeerStatus;

/**
 * Selects the daemons that are asked for tunnels: at random, so that all that reach the
 * targets share the load, and those last that failed recently.
 */
final class TunnelPeers {

	/** Several heartbeats, by which a daemon that is partitioned itself says so. */
	private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Supplier<List<PeerStatus>> livePeers;

	private final LongSupplier clockNanos;

	private final Map<String, Long> avoidedUntilNanos = new ConcurrentHashMap<>();

	/**
	 * Creates a selection.
	 * @param livePeers supplies the live daemons other than this one
	 * @param clockNanos the monotonic clock
	 */
	TunnelPeers(Supplier<List<PeerStatus>> livePeers, LongSupplier clockNanos) {
		this.livePeers = livePeers;
		this.clockNanos = clockNanos;
	}

	/**
	 * Returns the daemons to ask.
	 * @return the daemons, those to be asked first at the start
	 */
	List<PeerStatus> inOrder() {
		final List<PeerStatus> candidates = new ArrayList<>(
				this.livePeers.get().stream().filter(TunnelPeers::opensTunnels).toList());
		Collections.shuffle(candidates, ThreadLocalRandom.current());
		final long nowNanos = this.clockNanos.getAsLong();
		this.avoidedUntilNanos.values().removeIf((untilNanos) -> nowNanos - untilNanos >= 0);
		candidates.sort(Comparator.comparing((peer) -> this.avoidedUntilNanos.containsKey(peer.daemonId())));
		return candidates;
	}

	private static boolean opensTunnels(PeerStatus peer) {
		return !peer.tunnelAddress().isEmpty() && peer.ready() && !peer.leaving() && !peer.partitioned();
	}

	/**
	 * Asks a daemon only after all others for some time.
	 * @param daemonId the daemon
	 */
	void avoid(String daemonId) {
		this.avoidedUntilNanos.put(daemonId, this.clockNanos.getAsLong() + AVOID_NANOS);
	}

}
