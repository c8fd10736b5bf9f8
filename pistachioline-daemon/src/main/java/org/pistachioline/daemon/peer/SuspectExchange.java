package org.pistachioline.daemon.peer;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.protocol.peer.CrashNotice;
import org.pistachioline.protocol.peer.CrashSuspect;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Exchanges requests that are suspected of crashing targets with other daemons.
 */
public final class SuspectExchange {

	private volatile Supplier<List<SuspectedRequest>> heartbeatSample = List::of;

	private volatile Supplier<List<SuspectedRequest>> newcomerSuspects = List::of;

	private volatile Consumer<List<SuspectedRequest>> receiver = (reported) -> {
	};

	/**
	 * Sets the sources and the receiver of suspected requests.
	 * @param heartbeatSample supplies a sample of the known suspects for one heartbeat
	 * @param suspectsForNewcomers supplies the suspects to send to a newly started daemon
	 * @param listener receives the suspects that a peer knows; it must not block
	 */
	public void bind(Supplier<List<SuspectedRequest>> heartbeatSample,
			Supplier<List<SuspectedRequest>> suspectsForNewcomers, Consumer<List<SuspectedRequest>> listener) {
		this.heartbeatSample = heartbeatSample;
		this.newcomerSuspects = suspectsForNewcomers;
		this.receiver = listener;
	}

	List<CrashSuspect> encodeHeartbeatSample(long nowNanos) {
		return CrashCodec.encode(this.heartbeatSample.get(), nowNanos);
	}

	/**
	 * Sends the known suspects to a newly started daemon. Until it receives them, it runs
	 * requests that all other daemons refuse.
	 * @param nowNanos the monotonic time
	 * @param sender sends a frame to that daemon
	 */
	void sendToNewcomer(long nowNanos, Consumer<PeerFrame> sender) {
		final List<SuspectedRequest> suspects = this.newcomerSuspects.get();
		if (!suspects.isEmpty()) {
			sender.accept(toNotice(suspects, nowNanos));
		}
	}

	static PeerFrame toNotice(List<SuspectedRequest> requests, long nowNanos) {
		return PeerFrame.newBuilder()
			.setCrashNotice(CrashNotice.newBuilder().addAllSuspects(CrashCodec.encode(requests, nowNanos)))
			.build();
	}

	void onPeerSuspects(List<CrashSuspect> reported, long nowNanos) {
		if (!reported.isEmpty()) {
			this.receiver.accept(CrashCodec.decode(reported, nowNanos));
		}
	}

}
