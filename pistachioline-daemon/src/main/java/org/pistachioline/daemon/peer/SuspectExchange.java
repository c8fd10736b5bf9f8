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

	private volatile Supplier<List<SuspectedRequest>> heartbeatSample = List::of;

	private volatile Supplier<List<SuspectedRequest>> newcomerSuspects = List::of;

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
		this.heartbeatSample = heartbeatSample;
		this.newcomerSuspects = forNewcomers;
		this.receiver = listener;
	}

	List<CrashSuspect> encodeHeartbeatSample(long nowNanos) {
		return CrashCodec.encode(this.heartbeatSample.get(), nowNanos);
	}

	/**
	 * Tells a daemon that has just started. Until it hears, it runs what all others
	 * refuse.
	 * @param nowNanos the monotonic time
	 * @param link sends a frame to that daemon
	 */
	void sendToNewcomer(long nowNanos, Consumer<PeerFrame> link) {
		final List<SuspectedRequest> all = this.newcomerSuspects.get();
		if (!all.isEmpty()) {
			link.accept(toNotice(all, nowNanos));
		}
	}

	static PeerFrame toNotice(List<SuspectedRequest> requests, long nowNanos) {
		return PeerFrame.newBuilder()
			.setCrashNotice(CrashNotice.newBuilder().addAllSuspects(CrashCodec.encode(requests, nowNanos)))
			.build();
	}

	void onPeerSuspects(List<CrashSuspect> told, long nowNanos) {
		if (!told.isEmpty()) {
			this.receiver.accept(CrashCodec.decode(told, nowNanos));
		}
	}

}
