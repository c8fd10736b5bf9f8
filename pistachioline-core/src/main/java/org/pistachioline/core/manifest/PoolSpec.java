package org.pistachioline.core.manifest;

/**
 * A pool of targets of one kind.
 *
 * @param name the pool's name, as the instance list gives it
 * @param kind what the targets are
 * @param checksFencing whether the targets refuse an order with an old fencing number
 * @param weightStoreLoadsPerMinute how many member loads the weight store takes a minute
 */
public record PoolSpec(String name, PoolKind kind, boolean checksFencing, double weightStoreLoadsPerMinute) {

}
