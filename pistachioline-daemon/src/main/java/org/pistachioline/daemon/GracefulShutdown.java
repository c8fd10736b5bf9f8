package org.pistachioline.daemon;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

import org.pistachioline.core.endpoints.Successors;
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

	/** Callers cache an endpoint list for up to three times its TTL of one second. */
	private static final long LOOKUP_EXPIRY_MILLIS = 3_000;

	/** Includes the time that a request may be on its way after the expiry. */
	private static final long LINGER_MILLIS = 3_500;

	/** Time for callers to take their last response and close their connections. */
	private static final long CLOSE_MILLIS = 600;

	/** The time after which an endpoint list names another daemon. */
	private static final long NEXT_LOOKUP_MILLIS = 100;

	/** A restarted daemon serves within a second or two. */
	private static final long RESTART_MILLIS = 1_000;

	private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private final long graceMillis;

	private final TrafficDuty traffic;

	private final Relay relay;

	private final TunnelServer tunnels;

	private final Supplier<List<PeerStatus>> livePeers;

	private boolean othersServed;

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
		serveLateCallers(startedAtNanos, endsAtNanos);
		final long lingeredMillis = millisSince(startedAtNanos);
		final CompletableFuture<Void> closed = stopAdmission();
		completeActive(endsAtNanos);
		final int interrupted = this.traffic.activeRequestCount();
		this.traffic.interruptAll();
		awaitClosed(closed, endsAtNanos);
		Events.log(EventId.STOPPED, "interrupted", interrupted, "lingered_millis", lingeredMillis, "waited_millis",
				millisSince(startedAtNanos));
	}

	// Without another daemon, callers would find nobody until this one is back.
	private void serveLateCallers(long startedAtNanos, long endsAtNanos) {
		final Successors successors = new Successors(this.livePeers.get());
		final long lookupsExpireAtNanos = startedAtNanos + TimeUnit.MILLISECONDS.toNanos(LOOKUP_EXPIRY_MILLIS);
		final long lingerUntilNanos = startedAtNanos + TimeUnit.MILLISECONDS.toNanos(LINGER_MILLIS);
		boolean othersServe = successors.serve(this.livePeers.get());
		Drain terms = terms(endsAtNanos, lookupsExpireAtNanos, othersServe);
		this.traffic.drain(terms);
		// A request that follows an answer which announces the end is under the terms.
		this.relay.leave();
		while (System.nanoTime() < endsAtNanos && (System.nanoTime() < lingerUntilNanos || !othersServe)) {
			LockSupport.parkNanos(CHECK_INTERVAL_NANOS);
			othersServe = successors.serve(this.livePeers.get());
			final Drain termsNow = terms(endsAtNanos, lookupsExpireAtNanos, othersServe);
			if (!termsNow.equals(terms)) {
				terms = termsNow;
				this.traffic.drain(terms);
			}
		}
		this.othersServed = othersServe;
	}

	// A caller that still has this daemon's address after the expiry finds another one
	// with its next look-up, so nothing is accepted on an estimate.
	private static Drain terms(long endsAtNanos, long lookupsExpireAtNanos, boolean othersServe) {
		final boolean lookupsExpired = System.nanoTime() >= lookupsExpireAtNanos;
		return new Drain(endsAtNanos, retryAfterMillis(othersServe), !othersServe || !lookupsExpired);
	}

	private static long retryAfterMillis(boolean othersServe) {
		return othersServe ? NEXT_LOOKUP_MILLIS : RESTART_MILLIS;
	}

	// Admission ends before the connections do: a request that is read afterwards is
	// refused rather than lost.
	private CompletableFuture<Void> stopAdmission() {
		this.traffic.drain(new Drain(System.nanoTime(), retryAfterMillis(this.othersServed), false));
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
