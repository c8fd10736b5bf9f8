package org.pistachioline.core.fleet;

/**
 * One instance as the platform lists it.
 *
 * @param id its id
 * @param pool its pool
 * @param address where it takes calls
 * @param fabricDomain its fabric domain
 * @param availabilityZone its availability zone
 * @param accelerators how many accelerators it holds
 * @param leaving whether the platform is about to take it away
 */
public record Instance(String id, String pool, String address, String fabricDomain, String availabilityZone,
		int accelerators, boolean leaving) {

}
