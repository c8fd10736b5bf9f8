package org.pistachioline.daemon.peer;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.protocol.peer.Heartbeat;

/**
 * Exchanges the rate limits that targets state.
 */
public final class LimitExchange implements HeartbeatExchange {

	private final Supplier<List<AdvertisedLimit>> ownLimits;

	private final Consumer<List<AdvertisedLimit>> receiver;

	/**
	 * Creates the exchange.
	 * @param ownLimits supplies the limits that this daemon knows
	 * @param receiver receives the limits that a peer knows; it must not block
	 */
	public LimitExchange(Supplier<List<AdvertisedLimit>> ownLimits, Consumer<List<AdvertisedLimit>> receiver) {
		this.ownLimits = ownLimits;
		this.receiver = receiver;
	}

	@Override
	public void addTo(Heartbeat.Builder heartbeat, long nowNanos) {
		heartbeat.addAllTargetLimits(LimitCodec.encode(this.ownLimits.get(), nowNanos));
	}

	@Override
	public void onHeartbeat(PeerStatus sender, Heartbeat heartbeat, long nowNanos) {
		if (heartbeat.getTargetLimitsCount() > 0) {
			this.receiver.accept(LimitCodec.decode(heartbeat, nowNanos));
		}
	}

}
