package org.pistachioline.daemon.peer;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.pistachioline.core.cold.ColdTarget;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.protocol.peer.ColdNotice;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Exchanges the targets that have not warmed up. A new one is sent to all daemons at
 * once; heartbeats make up for lost frames.
 */
public final class ColdExchange implements HeartbeatExchange {

	private static final int MAX_TARGETS_PER_HEARTBEAT = 16;

	private static final int MAX_TARGETS_PER_NOTICE = 1_024;

	private static final long MAX_REMAINING_MILLIS = TimeUnit.MINUTES.toMillis(10);

	private final Supplier<List<ColdTarget>> known;

	private final Consumer<List<ColdTarget>> receiver;

	/**
	 * Creates the exchange.
	 * @param known supplies the cold targets, those that stay cold longest first
	 * @param receiver receives the targets that a peer knows; it must not block
	 */
	public ColdExchange(Supplier<List<ColdTarget>> known, Consumer<List<ColdTarget>> receiver) {
		this.known = known;
		this.receiver = receiver;
	}

	/**
	 * Builds the frame that tells all daemons of cold targets.
	 * @param targets the targets
	 * @param nowNanos the monotonic time
	 * @return the frame
	 */
	public static PeerFrame notice(List<ColdTarget> targets, long nowNanos) {
		return PeerFrame.newBuilder()
			.setColdNotice(ColdNotice.newBuilder().addAllTargets(encode(targets, MAX_TARGETS_PER_NOTICE, nowNanos)))
			.build();
	}

	@Override
	public void addTo(Heartbeat.Builder heartbeat, long nowNanos) {
		heartbeat.addAllColdTargets(encode(this.known.get(), MAX_TARGETS_PER_HEARTBEAT, nowNanos));
	}

	@Override
	public void onHeartbeat(PeerStatus sender, Heartbeat heartbeat, long nowNanos) {
		receive(heartbeat.getColdTargetsList(), nowNanos);
	}

	@Override
	public void onNotice(PeerFrame frame, long nowNanos) {
		if (frame.hasColdNotice()) {
			receive(frame.getColdNotice().getTargetsList(), nowNanos);
		}
	}

	@Override
	public Optional<PeerFrame> greeting(long nowNanos) {
		final List<ColdTarget> targets = this.known.get();
		return targets.isEmpty() ? Optional.empty() : Optional.of(notice(targets, nowNanos));
	}

	private void receive(List<org.pistachioline.protocol.peer.ColdTarget> encoded, long nowNanos) {
		final List<ColdTarget> targets = encoded.stream()
			.limit(MAX_TARGETS_PER_NOTICE)
			.filter(ColdExchange::isValid)
			.map((target) -> new ColdTarget(target.getInstanceId(),
					nowNanos + TimeUnit.MILLISECONDS.toNanos(target.getRemainingMillis())))
			.toList();
		if (!targets.isEmpty()) {
			this.receiver.accept(targets);
		}
	}

	private static boolean isValid(org.pistachioline.protocol.peer.ColdTarget target) {
		return !target.getInstanceId().isEmpty() && target.getRemainingMillis() > 0
				&& target.getRemainingMillis() <= MAX_REMAINING_MILLIS;
	}

	private static List<org.pistachioline.protocol.peer.ColdTarget> encode(List<ColdTarget> targets, int max,
			long nowNanos) {
		return targets.stream()
			.limit(max)
			.filter((target) -> target.coldUntilNanos() - nowNanos > 0)
			.map((target) -> org.pistachioline.protocol.peer.ColdTarget.newBuilder()
				.setInstanceId(target.instanceId())
				.setRemainingMillis(TimeUnit.NANOSECONDS.toMillis(target.coldUntilNanos() - nowNanos))
				.build())
			.toList();
	}

}
