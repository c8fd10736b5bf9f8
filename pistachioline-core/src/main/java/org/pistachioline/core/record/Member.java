package org.pistachioline.core.record;

/**
 * An instance that is a member of a replica group.
 *
 * @param instanceId the id of the instance
 * @param fabricDomain the fabric domain of the instance
 * @param address the address on which the instance accepts requests and orders
 * @param availabilityZone the availability zone of the instance
 * @param accelerators the number of accelerators of the instance
 */
public record Member(String instanceId, String fabricDomain, String address, String availabilityZone,
		int accelerators) {

}
