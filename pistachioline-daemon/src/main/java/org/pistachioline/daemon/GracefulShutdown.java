package org.pistachioline.daemon;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

import org.pistachioline.core.endpoints.Departure;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.traffic.Drain;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.relay.Relay;
import org.pistachioline.daemon.traffic.TrafficDuty;
import org.pistachioline.daemon.tunnel.TunnelServer;

/**
 * Drains a routing daemon that was told to stop, so that every request that it has read
 * gets a whole response.
 * <p>
 * While callers may still have its address, the daemon accepts the requests that it can
 * complete and refuses the others. Then it refuses all new requests, closes its listener,
 * completes or interrupts the active requests, and closes each connection behind its last
 * response.
 */
final class GracefulShutdown {

	/**
	 * Part of the grace time that is kept for the last responses and the end of the
	 * process.
	 */
	private static final long STOP_MARGIN_MILLIS = 1_300;

	/** Time for callers to take their last response and close their connections. */
	private static final long CLOSE_MILLIS = 600;

	private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private final long graceMillis;

	private final TrafficDuty traffic;

	private final Relay relay;

	private final TunnelServer tunnels;

	private final Supplier<List<PeerStatus>> livePeers;

	/**
	 * Creates a shutdown that does nothing until it is run.
	 * @param graceMillis the time after which the process is killed
	 * @param traffic schedules the requests
	 * @param relay serves the callers
	 * @param tunnels serves other daemons that are partitioned from the targets
	 * @param livePeers supplies the live daemons other than this one
	 */
	GracefulShutdown(long graceMillis, TrafficDuty traffic, Relay relay, TunnelServer tunnels,
			Supplier<List<PeerStatus>> livePeers) {
		this.graceMillis = graceMillis;
		this.traffic = traffic;
		this.relay = relay;
		this.tunnels = tunnels;
		this.livePeers = livePeers;
	}

	/**
	 * Drains the daemon and blocks until it is done, within the grace time.
	 */
	void run() {
		final long startedAtNanos = System.nanoTime();
		final long maxDrainMillis = Math.max(0, this.graceMillis - STOP_MARGIN_MILLIS);
		final long endsAtNanos = startedAtNanos + TimeUnit.MILLISECONDS.toNanos(maxDrainMillis);
		Events.log(EventId.STOPPING, "held", this.traffic.activeRequestCount());
		final Departure departure = new Departure(startedAtNanos, endsAtNanos, this.livePeers.get());
		serveLateCallers(departure);
		final long lingeredMillis = millisSince(startedAtNanos);
		final CompletableFuture<Void> closed = stopAdmission(departure);
		completeActive(endsAtNanos);
		final int interrupted = this.traffic.activeRequestCount();
		this.traffic.interruptAll();
		awaitClosed(closed, endsAtNanos);
		Events.log(EventId.STOPPED, "interrupted", interrupted, "lingered_millis", lingeredMillis, "waited_millis",
				millisSince(startedAtNanos));
	}

	private void serveLateCallers(Departure departure) {
		Drain terms = departure.terms(System.nanoTime(), this.livePeers.get());
		this.traffic.drain(terms);
		// A request that follows an answer which announces the end is under the terms.
		this.relay.leave();
		while (!departure.isOver(System.nanoTime(), this.livePeers.get(), this.traffic.drainReport())) {
			LockSupport.parkNanos(CHECK_INTERVAL_NANOS);
			final Drain termsNow = departure.terms(System.nanoTime(), this.livePeers.get());
			if (!termsNow.equals(terms)) {
				terms = termsNow;
				this.traffic.drain(terms);
			}
		}
	}

	// Admission ends before the connections do: a request that is read afterwards is
	// refused rather than lost.
	private CompletableFuture<Void> stopAdmission(Departure departure) {
		this.traffic.drain(departure.finalTerms(this.livePeers.get()));
		this.tunnels.stopAccepting();
		return this.relay.finish();
	}

	private void completeActive(long endsAtNanos) {
		while (System.nanoTime() < endsAtNanos && hasActiveRequests()) {
			LockSupport.parkNanos(CHECK_INTERVAL_NANOS);
		}
	}

	private boolean hasActiveRequests() {
		return this.traffic.activeRequestCount() > 0 || this.tunnels.openTunnels() > 0;
	}

	// A caller that is still sending a request has time to do so until the drain's end.
	private static void awaitClosed(CompletableFuture<Void> closed, long endsAtNanos) {
		final long leftMillis = TimeUnit.NANOSECONDS.toMillis(endsAtNanos - System.nanoTime());
		closed.completeOnTimeout(null, Math.max(0, leftMillis) + CLOSE_MILLIS, TimeUnit.MILLISECONDS).join();
	}

	private static long millisSince(long startedAtNanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
	}

}
