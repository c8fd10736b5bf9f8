package org.pistachioline.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.core.peer.PeerStatus;

/**
 * Runs several peer duties in one process that exchange heartbeats over real connections.
 */
final class LoopbackPeers implements AutoCloseable {

	private static final long HEARTBEAT_MILLIS = 20;

	private final ActorSystem<?> system = ActorSystems.create("peers-on-loopback");

	private final AtomicLong sequence = new AtomicLong();

	private final List<PeerDuty> daemons = new ArrayList<>();

	/**
	 * Creates a daemon that is not started yet.
	 * @param id the daemon's id
	 * @param seeds the addresses of daemons to contact first
	 * @return the daemon's peer duty
	 */
	PeerDuty daemon(String id, List<String> seeds) {
		return daemon(id, seeds, UnaryOperator.identity());
	}

	/**
	 * Creates a daemon that is not started yet and that others reach by another address.
	 * @param id the daemon's id
	 * @param seeds the addresses of daemons to contact first
	 * @param announced returns the address that others use, for the one on which the
	 * daemon listens
	 * @return the daemon's peer duty
	 */
	PeerDuty daemon(String id, List<String> seeds, UnaryOperator<String> announced) {
		final AtomicReference<PeerDuty> self = new AtomicReference<>();
		final PeerDuty duty = new PeerDuty(this.system,
				(receiver) -> new PeerTransport("127.0.0.1:0", null, 8, receiver), id,
				() -> new PeerStatus(id, announced.apply(self.get().localAddress()), "", "", "zone", 1,
						this.sequence.incrementAndGet(), 1, 0, 0, true, false, 0, 0),
				() -> seeds, HEARTBEAT_MILLIS);
		self.set(duty);
		this.daemons.add(duty);
		return duty;
	}

	@Override
	public void close() {
		this.daemons.forEach(PeerDuty::stop);
		this.system.terminate();
	}

}
