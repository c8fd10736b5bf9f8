package org.pistachioline.core.record;

/**
 * One instance as a member of a group.
 *
 * @param instanceId the instance
 * @param fabricDomain its fabric domain
 * @param address where it takes calls and orders
 * @param availabilityZone its availability zone
 * @param accelerators how many accelerators it holds
 */
public record Member(String instanceId, String fabricDomain, String address, String availabilityZone,
		int accelerators) {

}
