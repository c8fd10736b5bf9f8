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
 * The operators' last word on each availability zone, merged from the platform's store
 * and from other daemons.
 * <p>
 * For each zone the word at the highest position counts, so daemons that know the same
 * words agree in whatever order they learned them. A withdrawal is remembered as well:
 * otherwise a daemon that missed it would bring the evacuation back. A zone that a
 * reading of the store lacks was withdrawn only if the reading covers the position of the
 * last word; a store that lost records does not.
 */
public final class EvacuationRegistry {

	/** Bounds the memory and the size of heartbeats. */
	public static final int MAX_ZONES = 64;

	/** The longest name of a zone, in characters. */
	public static final int MAX_NAME_LENGTH = 128;

	private static final int MAX_REFUSED_ZONES = 256;

	private final Map<String, ZoneEvacuation> words = new HashMap<>();

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
		reading.words().forEach(this::merge);
		List.copyOf(this.words.values()).forEach(this::withdrawIfMissing);
		return !before.equals(zones());
	}

	/**
	 * Applies what another daemon knows.
	 * @param known its words
	 * @return whether the zones to evacuate changed
	 */
	public boolean onPeerWords(Collection<ZoneEvacuation> known) {
		final Set<String> before = zones();
		known.stream().limit(MAX_ZONES).forEach((word) -> {
			merge(word);
			final ZoneEvacuation merged = this.words.get(word.availabilityZone());
			if (merged != null) {
				withdrawIfMissing(merged);
			}
		});
		return !before.equals(zones());
	}

	private void withdrawIfMissing(ZoneEvacuation word) {
		final EvacuationReading reading = this.lastReading;
		final boolean covered = word.position() >= reading.fromPosition() && word.position() < reading.toPosition();
		if (word.inForce() && covered
				&& reading.words().stream().noneMatch((read) -> isWordOn(read, word.availabilityZone()))) {
			this.words.put(word.availabilityZone(),
					new ZoneEvacuation(word.availabilityZone(), reading.toPosition() - 1, false));
		}
	}

	private static boolean isWordOn(ZoneEvacuation read, String availabilityZone) {
		return read.inForce() && read.availabilityZone().equals(availabilityZone);
	}

	private void merge(ZoneEvacuation word) {
		final ZoneEvacuation known = this.words.get(word.availabilityZone());
		if (known != null && (word.position() < known.position()
				|| (word.position() == known.position() && (word.inForce() || !known.inForce())))) {
			return;
		}
		if (!isValid(word) || (known == null && !hasRoom())) {
			recordRefusal(word.availabilityZone());
			return;
		}
		this.words.put(word.availabilityZone(), word);
	}

	private void recordRefusal(String availabilityZone) {
		if (this.refusedZones.size() < MAX_REFUSED_ZONES && this.refusedZones.add(availabilityZone)) {
			this.newlyRefusedZones.add(availabilityZone);
		}
	}

	/**
	 * Returns whether a word can be used.
	 * @param word the word
	 * @return whether its zone has a name of a usable length and its position is valid
	 */
	public static boolean isValid(ZoneEvacuation word) {
		return !word.availabilityZone().isBlank() && word.availabilityZone().length() <= MAX_NAME_LENGTH
				&& word.position() >= 0;
	}

	// Withdrawals give way, the oldest first; a request in force never does.
	private boolean hasRoom() {
		if (this.words.size() < MAX_ZONES) {
			return true;
		}
		return this.words.values()
			.stream()
			.filter((word) -> !word.inForce())
			.min(Comparator.comparingLong(ZoneEvacuation::position))
			.map((oldest) -> this.words.remove(oldest.availabilityZone()))
			.isPresent();
	}

	private Set<String> zones() {
		return this.words.values()
			.stream()
			.filter(ZoneEvacuation::inForce)
			.map(ZoneEvacuation::availabilityZone)
			.collect(Collectors.toCollection(HashSet::new));
	}

	/**
	 * Returns the zones to evacuate.
	 * @return the zones, and the position of the newest word
	 */
	public EvacuationState state() {
		return new EvacuationState(this.words.values().stream().mapToLong(ZoneEvacuation::position).max().orElse(0),
				zones());
	}

	/**
	 * Returns the last word on each zone, for other daemons.
	 * @return the words, withdrawals included
	 */
	public List<ZoneEvacuation> words() {
		return List.copyOf(this.words.values());
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
