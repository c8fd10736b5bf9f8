package org.pistachioline.standins;

/**
 * One row of the instance list stand-in.
 *
 * @param id the instance's id
 * @param pool its pool
 * @param address where it takes calls
 * @param fabricDomain its fabric domain
 * @param availabilityZone its availability zone
 * @param accelerators how many accelerators it holds
 * @param state {@code live} or {@code leaving}
 */
public record ListedInstance(String id, String pool, String address, String fabricDomain, String availabilityZone,
		int accelerators, String state) {

}
