package org.pistachioline.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.quarantine.SuspectKind;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.protocol.peer.CrashNotice;
import org.pistachioline.protocol.peer.CrashSuspect;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Exchanges requests that are suspected of crashing targets with other daemons.
 */
public final class SuspectExchange implements HeartbeatExchange {

	private final Supplier<List<SuspectedRequest>> heartbeatSample;

	private final Supplier<List<SuspectedRequest>> newcomerSuspects;

	private final Consumer<List<SuspectedRequest>> receiver;

	/**
	 * Creates the exchange.
	 * @param heartbeatSample supplies a sample of the known suspects for one heartbeat
	 * @param newcomerSuspects supplies the suspects to send to a newly started daemon
	 * @param receiver receives the suspects that a peer knows; it must not block
	 */
	public SuspectExchange(Supplier<List<SuspectedRequest>> heartbeatSample,
			Supplier<List<SuspectedRequest>> newcomerSuspects, Consumer<List<SuspectedRequest>> receiver) {
		this.heartbeatSample = heartbeatSample;
		this.newcomerSuspects = newcomerSuspects;
		this.receiver = receiver;
	}

	/**
	 * Creates the frame that tells other daemons at once of suspected requests, so that
	 * they recognize the next attempt of such a request. Heartbeats repeat the suspicion,
	 * which makes up for lost frames.
	 * @param requests the suspected requests
	 * @param nowNanos the monotonic time
	 * @return the frame
	 */
	public static PeerFrame toNotice(List<SuspectedRequest> requests, long nowNanos) {
		return PeerFrame.newBuilder()
			.setCrashNotice(CrashNotice.newBuilder()
				.addAllSuspects(CrashCodec.encode(requests, SuspectKind.REQUEST, nowNanos))
				.addAllPartSuspects(CrashCodec.encode(requests, SuspectKind.PROMPT_PART, nowNanos)))
			.build();
	}

	@Override
	public void addTo(Heartbeat.Builder heartbeat, long nowNanos) {
		final List<SuspectedRequest> sample = this.heartbeatSample.get();
		heartbeat.addAllCrashSuspects(CrashCodec.encode(sample, SuspectKind.REQUEST, nowNanos))
			.addAllPartSuspects(CrashCodec.encode(sample, SuspectKind.PROMPT_PART, nowNanos));
	}

	@Override
	public void onHeartbeat(PeerStatus sender, Heartbeat heartbeat, long nowNanos) {
		onPeerSuspects(heartbeat.getCrashSuspectsList(), heartbeat.getPartSuspectsList(), nowNanos);
	}

	@Override
	public void onNotice(PeerFrame frame, long nowNanos) {
		if (frame.hasCrashNotice()) {
			onPeerSuspects(frame.getCrashNotice().getSuspectsList(), frame.getCrashNotice().getPartSuspectsList(),
					nowNanos);
		}
	}

	// Until a newly started daemon knows the suspects, it runs requests that all other
	// daemons refuse.
	@Override
	public Optional<PeerFrame> greeting(long nowNanos) {
		final List<SuspectedRequest> suspects = this.newcomerSuspects.get();
		return suspects.isEmpty() ? Optional.empty() : Optional.of(toNotice(suspects, nowNanos));
	}

	private void onPeerSuspects(List<CrashSuspect> requests, List<CrashSuspect> parts, long nowNanos) {
		if (!requests.isEmpty() || !parts.isEmpty()) {
			final List<SuspectedRequest> reported = new ArrayList<>(
					CrashCodec.decode(requests, SuspectKind.REQUEST, nowNanos));
			reported.addAll(CrashCodec.decode(parts, SuspectKind.PROMPT_PART, nowNanos));
			this.receiver.accept(reported);
		}
	}

}
