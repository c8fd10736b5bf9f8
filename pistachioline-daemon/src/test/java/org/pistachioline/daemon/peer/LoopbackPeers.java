package org.pistachioline.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.core.peer.PeerStatus;

/**
 * Daemons that send each other heartbeats over real connections, and nothing else.
 */
final class LoopbackPeers implements AutoCloseable {

	private static final long HEARTBEAT_MILLIS = 20;

	private final ActorSystem<?> system = ActorSystems.create("peers-on-loopback");

	private final AtomicLong sequence = new AtomicLong();

	private final List<PeerDuty> daemons = new ArrayList<>();

	/**
	 * Creates a daemon, which is not started yet.
	 * @param id its name
	 * @param seeds where others listen
	 * @return the duty that talks to others
	 */
	PeerDuty daemon(String id, List<String> seeds) {
		final AtomicReference<PeerDuty> self = new AtomicReference<>();
		final PeerDuty duty = new PeerDuty(this.system,
				(receiver) -> new PeerTransport("127.0.0.1:0", null, 8, receiver), id,
				() -> new PeerStatus(id, self.get().localAddress(), "", "", "zone", 1, this.sequence.incrementAndGet(),
						1, 0, 0, true, false, 0, 0),
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
