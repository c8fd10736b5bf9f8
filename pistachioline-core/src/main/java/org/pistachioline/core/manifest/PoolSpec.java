package org.pistachioline.core.manifest;

/**
 * The declaration of a pool of targets of the same kind.
 *
 * @param name the name of the pool, as in the instance list
 * @param kind the kind of the targets
 * @param checksFencing whether the targets reject orders with an outdated fencing token
 * @param weightStoreLoadsPerMinute the maximum rate at which the weight store serves
 * model loads, counted per member
 */
public record PoolSpec(String name, PoolKind kind, boolean checksFencing, double weightStoreLoadsPerMinute) {

}
