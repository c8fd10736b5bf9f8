package org.pistachioline.core.evacuation;

import java.util.Set;

/**
 * The availability zones that operators have asked to evacuate.
 *
 * @param position the position in the platform's store of the newest change; 0 if none is
 * known
 * @param availabilityZones the zones
 */
public record EvacuationState(long position, Set<String> availabilityZones) {

	/** The state of a daemon that has heard of no evacuation. */
	public static final EvacuationState NONE = new EvacuationState(0, Set.of());

	public EvacuationState {
		availabilityZones = Set.copyOf(availabilityZones);
	}

	/**
	 * Returns whether this state replaces another one.
	 * @param known the other state
	 * @return whether it shows a newer change
	 */
	public boolean isNewerThan(EvacuationState known) {
		return this.position > known.position;
	}

}
