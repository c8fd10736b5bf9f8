package org.pistachioline.core.evacuation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The operators' latest record on each availability zone, merged from the platform's
 * store and from other daemons.
 * <p>
 * For each zone the record at the highest position counts, so daemons that know the same
 * records agree in whatever order they learned them. A withdrawal is remembered as well:
 * otherwise a daemon that missed it would bring the evacuation back. A zone that a
 * reading of the store lacks was withdrawn only if the reading covers the position of the
 * latest record; a store that lost records does not.
 */
public final class EvacuationRegistry {

	/** Bounds the memory and the size of heartbeats. */
	public static final int MAX_ZONES = 64;

	/** The longest name of a zone, in characters. */
	public static final int MAX_NAME_LENGTH = 128;

	private static final int MAX_REFUSED_ZONES = 256;

	private final Map<String, ZoneEvacuation> records = new HashMap<>();

	private EvacuationReading lastReading = new EvacuationReading(0, 0, List.of());

	private final Set<String> refusedZones = new HashSet<>();

	private final List<String> newlyRefusedZones = new ArrayList<>();

	/**
	 * Applies what the store shows.
	 * @param reading the reading
	 * @return whether the zones to evacuate changed
	 */
	public boolean onReading(EvacuationReading reading) {
		final Set<String> before = zones();
		if (reading.toPosition() > this.lastReading.toPosition()) {
			this.lastReading = reading;
		}
		reading.records().forEach(this::merge);
		List.copyOf(this.records.values()).forEach(this::withdrawIfMissing);
		return !before.equals(zones());
	}

	/**
	 * Applies what another daemon knows.
	 * @param known its records
	 * @return whether the zones to evacuate changed
	 */
	public boolean onPeerRecords(Collection<ZoneEvacuation> known) {
		final Set<String> before = zones();
		known.stream().limit(MAX_ZONES).forEach((zoneRecord) -> {
			merge(zoneRecord);
			final ZoneEvacuation merged = this.records.get(zoneRecord.availabilityZone());
			if (merged != null) {
				withdrawIfMissing(merged);
			}
		});
		return !before.equals(zones());
	}

	private void withdrawIfMissing(ZoneEvacuation zoneRecord) {
		final EvacuationReading reading = this.lastReading;
		final boolean covered = zoneRecord.position() >= reading.fromPosition()
				&& zoneRecord.position() < reading.toPosition();
		if (zoneRecord.inForce() && covered
				&& reading.records().stream().noneMatch((read) -> coversZone(read, zoneRecord.availabilityZone()))) {
			this.records.put(zoneRecord.availabilityZone(),
					new ZoneEvacuation(zoneRecord.availabilityZone(), reading.toPosition() - 1, false));
		}
	}

	private static boolean coversZone(ZoneEvacuation read, String availabilityZone) {
		return read.inForce() && read.availabilityZone().equals(availabilityZone);
	}

	private void merge(ZoneEvacuation zoneRecord) {
		final ZoneEvacuation known = this.records.get(zoneRecord.availabilityZone());
		if (known != null && (zoneRecord.position() < known.position()
				|| (zoneRecord.position() == known.position() && (zoneRecord.inForce() || !known.inForce())))) {
			return;
		}
		if (!isValid(zoneRecord) || (known == null && !makeRoom())) {
			recordRefusal(zoneRecord.availabilityZone());
			return;
		}
		this.records.put(zoneRecord.availabilityZone(), zoneRecord);
	}

	private void recordRefusal(String availabilityZone) {
		if (this.refusedZones.size() < MAX_REFUSED_ZONES && this.refusedZones.add(availabilityZone)) {
			this.newlyRefusedZones.add(availabilityZone);
		}
	}

	/**
	 * Returns whether a record can be used.
	 * @param zoneRecord the record
	 * @return whether its zone has a name of a usable length and its position is valid
	 */
	public static boolean isValid(ZoneEvacuation zoneRecord) {
		return !zoneRecord.availabilityZone().isBlank() && zoneRecord.availabilityZone().length() <= MAX_NAME_LENGTH
				&& zoneRecord.position() >= 0;
	}

	// Withdrawals give way, the oldest first; a request in force never does.
	private boolean makeRoom() {
		if (this.records.size() < MAX_ZONES) {
			return true;
		}
		return this.records.values()
			.stream()
			.filter((zoneRecord) -> !zoneRecord.inForce())
			.min(Comparator.comparingLong(ZoneEvacuation::position))
			.map((oldest) -> this.records.remove(oldest.availabilityZone()))
			.isPresent();
	}

	private Set<String> zones() {
		return this.records.values()
			.stream()
			.filter(ZoneEvacuation::inForce)
			.map(ZoneEvacuation::availabilityZone)
			.collect(Collectors.toCollection(HashSet::new));
	}

	/**
	 * Returns the zones to evacuate.
	 * @return the zones, and the position of the newest record
	 */
	public EvacuationState state() {
		return new EvacuationState(this.records.values().stream().mapToLong(ZoneEvacuation::position).max().orElse(0),
				zones());
	}

	/**
	 * Returns the latest record on each zone, for other daemons.
	 * @return the records, withdrawals included
	 */
	public List<ZoneEvacuation> records() {
		return List.copyOf(this.records.values());
	}

	/**
	 * Returns the zones that were refused since the last call because their names are
	 * unusable or there are too many; each is returned once.
	 * @return the zones
	 */
	public List<String> drainRefusedZones() {
		final List<String> drained = List.copyOf(this.newlyRefusedZones);
		this.newlyRefusedZones.clear();
		return drained;
	}

}
