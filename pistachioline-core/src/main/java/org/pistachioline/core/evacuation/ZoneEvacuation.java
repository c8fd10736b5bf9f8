package org.pistachioline.core.evacuation;

/**
 * The operators' latest record on one availability zone, as far as is known.
 *
 * @param availabilityZone the zone
 * @param position the position of that record in the platform's store; records at higher
 * positions are newer
 * @param inForce whether the zone is to be evacuated; false if that was withdrawn
 */
public record ZoneEvacuation(String availabilityZone, long position, boolean inForce) {

}
