package org.pistachioline.daemon.peer;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.protocol.peer.CrashNotice;
import org.pistachioline.protocol.peer.CrashSuspect;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * What daemons tell each other of requests under which targets died.
 */
public final class SuspectExchange {

	private volatile Supplier<List<SuspectedRequest>> sample = List::of;

	private volatile Supplier<List<SuspectedRequest>> known = List::of;

	private volatile Consumer<List<SuspectedRequest>> receiver = (told) -> {
	};

	/**
	 * Sets what is told and what takes what others tell.
	 * @param heartbeatSample some of what this daemon knows, for one heartbeat
	 * @param forNewcomers what it tells a daemon that has just started
	 * @param listener takes what a peer knows; it must not block
	 */
	public void bind(Supplier<List<SuspectedRequest>> heartbeatSample, Supplier<List<SuspectedRequest>> forNewcomers,
			Consumer<List<SuspectedRequest>> listener) {
		this.sample = heartbeatSample;
		this.known = forNewcomers;
		this.receiver = listener;
	}

	List<CrashSuspect> forHeartbeat(long nowNanos) {
		return CrashCodec.encode(this.sample.get(), nowNanos);
	}

	/**
	 * Tells a daemon that has just started. Until it hears, it runs what all others
	 * refuse.
	 * @param nowNanos the monotonic time
	 * @param link sends a frame to that daemon
	 */
	void greet(long nowNanos, Consumer<PeerFrame> link) {
		final List<SuspectedRequest> all = this.known.get();
		if (!all.isEmpty()) {
			link.accept(notice(all, nowNanos));
		}
	}

	static PeerFrame notice(List<SuspectedRequest> requests, long nowNanos) {
		return PeerFrame.newBuilder()
			.setCrashNotice(CrashNotice.newBuilder().addAllSuspects(CrashCodec.encode(requests, nowNanos)))
			.build();
	}

	void take(List<CrashSuspect> told, long nowNanos) {
		if (!told.isEmpty()) {
			this.receiver.accept(CrashCodec.decode(told, nowNanos));
		}
	}

}
