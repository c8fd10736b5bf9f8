package org.pistachioline.core.fleet;

/**
 * One instance as listed by the platform.
 *
 * @param id its id
 * @param pool the pool that it belongs to
 * @param address the address at which it accepts calls
 * @param fabricDomain its fabric domain
 * @param availabilityZone its availability zone
 * @param accelerators the number of its accelerators
 * @param leaving whether the platform is about to remove it
 */
public record Instance(String id, String pool, String address, String fabricDomain, String availabilityZone,
		int accelerators, boolean leaving) {

}
