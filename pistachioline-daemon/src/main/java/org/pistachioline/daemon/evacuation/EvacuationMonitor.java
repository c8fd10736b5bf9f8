package org.pistachioline.daemon.evacuation;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.pistachioline.core.evacuation.EvacuationReading;
import org.pistachioline.core.evacuation.EvacuationRegistry;
import org.pistachioline.core.evacuation.EvacuationState;
import org.pistachioline.core.evacuation.ZoneEvacuation;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.daemon.event.Events;

/**
 * Merges what the platform's store and other daemons say of evacuations, and passes each
 * change on. Any thread may report; listeners are called on that thread and must not
 * block.
 */
public final class EvacuationMonitor {

	private final EvacuationRegistry registry = new EvacuationRegistry();

	private volatile Consumer<EvacuationState> listener = (changed) -> {
	};

	private volatile Consumer<List<ZoneEvacuation>> broadcaster = (known) -> {
	};

	private volatile Set<String> listedZones = Set.of();

	private volatile EvacuationState state = EvacuationState.NONE;

	private volatile List<ZoneEvacuation> records = List.of();

	/**
	 * Sets the receiver of changes. Must be called before the start.
	 * @param receiver receives the zones to evacuate after each change
	 */
	public void setListener(Consumer<EvacuationState> receiver) {
		this.listener = receiver;
	}

	/**
	 * Sets the receiver of what other daemons are to be told at once. Must be called
	 * before the start.
	 * @param receiver receives the latest record on each zone
	 */
	public void setBroadcaster(Consumer<List<ZoneEvacuation>> receiver) {
		this.broadcaster = receiver;
	}

	/**
	 * Applies the instance list, from which zones are known.
	 * @param instances all listed instances
	 */
	public void onInstances(List<ServingInstance> instances) {
		this.listedZones = instances.stream()
			.map(ServingInstance::availabilityZone)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Applies what the platform's store shows.
	 * @param reading the reading
	 */
	public synchronized void onReading(EvacuationReading reading) {
		if (publish(this.registry.onReading(reading), false)) {
			this.broadcaster.accept(this.records);
		}
	}

	/**
	 * Applies what another daemon knows.
	 * @param known its records
	 */
	public synchronized void onPeerRecords(Collection<ZoneEvacuation> known) {
		publish(this.registry.onPeerRecords(known), true);
	}

	private boolean publish(boolean changed, boolean toldByPeer) {
		this.registry.drainRefusedZones()
			.forEach((zone) -> Events.log(EventId.EVACUATION_REFUSED, "zone",
					zone.substring(0, Math.min(EvacuationRegistry.MAX_NAME_LENGTH, zone.length()))));
		this.records = this.registry.records();
		if (!changed) {
			return false;
		}
		final EvacuationState before = this.state;
		this.state = this.registry.state();
		logChange(before.availabilityZones(), this.state.availabilityZones(), toldByPeer);
		this.listener.accept(this.state);
		return true;
	}

	private void logChange(Set<String> before, Set<String> now, boolean toldByPeer) {
		final Set<String> listed = this.listedZones;
		without(now, before).forEach((zone) -> {
			Events.log(EventId.ZONE_EVACUATED, "zone", zone, "told_by_peer", toldByPeer);
			if (!listed.isEmpty() && !listed.contains(zone)) {
				Events.log(EventId.EVACUATED_ZONE_UNKNOWN, "zone", zone, "listed_zones", new TreeSet<>(listed));
			}
		});
		without(before, now)
			.forEach((zone) -> Events.log(EventId.ZONE_EVACUATION_ENDED, "zone", zone, "told_by_peer", toldByPeer));
	}

	private static Set<String> without(Set<String> zones, Set<String> others) {
		final Set<String> rest = new HashSet<>(zones);
		rest.removeAll(others);
		return rest;
	}

	/**
	 * Returns the zones to evacuate.
	 * @return the state
	 */
	public EvacuationState state() {
		return this.state;
	}

	/**
	 * Returns the latest record on each zone, for other daemons.
	 * @return the records, withdrawals included
	 */
	public List<ZoneEvacuation> records() {
		return this.records;
	}

}
