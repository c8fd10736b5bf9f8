package org.pistachioline.core.manifest;

/**
 * A served model and the replica groups that serve it.
 *
 * @param name the name that callers use
 * @param pool the pool whose instances serve it
 * @param members how many instances one replica group has
 * @param minReplicas the least number of replica groups
 * @param maxReplicas the largest number of replica groups
 * @param maxConcurrentRequests how many requests one replica group batches at once
 */
public record ModelSpec(String name, String pool, int members, int minReplicas, int maxReplicas,
		int maxConcurrentRequests) {

}
