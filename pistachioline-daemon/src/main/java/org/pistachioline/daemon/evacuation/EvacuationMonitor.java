package org.pistachioline.daemon.evacuation;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.pistachioline.core.evacuation.EvacuationReading;
import org.pistachioline.core.evacuation.EvacuationRegistry;
import org.pistachioline.core.evacuation.EvacuationState;
import org.pistachioline.core.evacuation.ZoneEvacuation;
import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.event.Events;

/**
 * Merges what the platform's store and other daemons say of evacuations, and passes each
 * change on. Any thread may report; listeners are called on that thread and must not
 * block.
 */
public final class EvacuationMonitor {

	private final EvacuationRegistry registry = new EvacuationRegistry();

	private final Consumer<EvacuationState> listener;

	private final Runnable broadcaster;

	private final Supplier<Set<String>> listedZones;

	private volatile EvacuationState state = EvacuationState.NONE;

	private volatile List<ZoneEvacuation> words = List.of();

	/**
	 * Creates a monitor that knows of no evacuation.
	 * @param listener receives the zones to evacuate after each change
	 * @param broadcaster tells other daemons at once what the store says
	 * @param listedZones supplies the zones of all listed instances; empty if the list is
	 * not known
	 */
	public EvacuationMonitor(Consumer<EvacuationState> listener, Runnable broadcaster,
			Supplier<Set<String>> listedZones) {
		this.listener = listener;
		this.broadcaster = broadcaster;
		this.listedZones = listedZones;
	}

	/**
	 * Applies what the platform's store shows.
	 * @param reading the reading
	 */
	public synchronized void onReading(EvacuationReading reading) {
		if (publish(this.registry.onReading(reading), false)) {
			this.broadcaster.run();
		}
	}

	/**
	 * Applies what another daemon knows.
	 * @param known its words
	 */
	public synchronized void onPeerWords(Collection<ZoneEvacuation> known) {
		publish(this.registry.onPeerWords(known), true);
	}

	private boolean publish(boolean changed, boolean toldByPeer) {
		this.registry.drainRefusedZones()
			.forEach((zone) -> Events.log(EventId.EVACUATION_REFUSED, "zone",
					zone.substring(0, Math.min(EvacuationRegistry.MAX_NAME_LENGTH, zone.length()))));
		this.words = this.registry.words();
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
		final Set<String> listed = this.listedZones.get();
		without(now, before).forEach((zone) -> {
			Events.log(EventId.ZONE_EVACUATED, "zone", zone, "told_by_peer", toldByPeer);
			if (!listed.isEmpty() && !listed.contains(zone)) {
				Events.log(EventId.EVACUATED_ZONE_UNKNOWN, "zone", zone, "listed_zones", new TreeSet<>(listed));
			}
		});
		without(before, now)
			.forEach((zone) -> Events.log(EventId.ZONE_TAKEN_BACK, "zone", zone, "told_by_peer", toldByPeer));
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
	 * Returns the last word on each zone, for other daemons.
	 * @return the words, withdrawals included
	 */
	public List<ZoneEvacuation> words() {
		return this.words;
	}

}
