package org.pistachioline.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.pistachioline.core.evacuation.EvacuationRegistry;
import org.pistachioline.core.evacuation.ZoneEvacuation;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.protocol.peer.EvacuationState;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Exchanges the operators' latest record on each availability zone, so that a daemon that
 * the platform's store turns away learns of evacuations and of their end.
 */
public final class EvacuationExchange implements HeartbeatExchange {

	private final Supplier<List<ZoneEvacuation>> known;

	private final Consumer<List<ZoneEvacuation>> receiver;

	/**
	 * Creates the exchange.
	 * @param known supplies the latest record on each zone
	 * @param receiver receives the records that a peer knows; it must not block
	 */
	public EvacuationExchange(Supplier<List<ZoneEvacuation>> known, Consumer<List<ZoneEvacuation>> receiver) {
		this.known = known;
		this.receiver = receiver;
	}

	@Override
	public void addTo(Heartbeat.Builder heartbeat, long nowNanos) {
		final List<ZoneEvacuation> records = this.known.get();
		if (!records.isEmpty()) {
			heartbeat.setEvacuation(encode(records));
		}
	}

	@Override
	public void onHeartbeat(PeerStatus sender, Heartbeat heartbeat, long nowNanos) {
		if (heartbeat.hasEvacuation()) {
			this.receiver.accept(decode(heartbeat.getEvacuation()));
		}
	}

	@Override
	public void onNotice(PeerFrame frame, long nowNanos) {
		if (frame.hasEvacuationNotice()) {
			this.receiver.accept(decode(frame.getEvacuationNotice()));
		}
	}

	@Override
	public Optional<PeerFrame> greeting(long nowNanos) {
		final List<ZoneEvacuation> records = this.known.get();
		return records.isEmpty() ? Optional.empty() : Optional.of(notice(records));
	}

	/**
	 * Builds the frame that tells all daemons of evacuations.
	 * @param records the latest record on each zone
	 * @return the frame
	 */
	public static PeerFrame notice(List<ZoneEvacuation> records) {
		return PeerFrame.newBuilder().setEvacuationNotice(encode(records)).build();
	}

	private static EvacuationState encode(List<ZoneEvacuation> records) {
		final EvacuationState.Builder encoded = EvacuationState.newBuilder();
		for (final ZoneEvacuation zoneRecord : records) {
			encoded.setPosition(Math.max(encoded.getPosition(), zoneRecord.position()));
			if (zoneRecord.inForce()) {
				encoded.addAvailabilityZones(zoneRecord.availabilityZone());
			}
			encoded.addWordsBuilder()
				.setAvailabilityZone(zoneRecord.availabilityZone())
				.setPosition(zoneRecord.position())
				.setInForce(zoneRecord.inForce());
		}
		return encoded.build();
	}

	// A peer that sends no records of single zones names those in force.
	private static List<ZoneEvacuation> decode(EvacuationState state) {
		final List<ZoneEvacuation> records = new ArrayList<>();
		state.getWordsList()
			.stream()
			.limit(EvacuationRegistry.MAX_ZONES)
			.map((zoneRecord) -> new ZoneEvacuation(zoneRecord.getAvailabilityZone(), zoneRecord.getPosition(),
					zoneRecord.getInForce()))
			.forEach(records::add);
		final Set<String> named = records.stream().map(ZoneEvacuation::availabilityZone).collect(Collectors.toSet());
		state.getAvailabilityZonesList()
			.stream()
			.limit(EvacuationRegistry.MAX_ZONES)
			.filter((zone) -> !named.contains(zone))
			.forEach((zone) -> records.add(new ZoneEvacuation(zone, state.getPosition(), true)));
		return records;
	}

}
