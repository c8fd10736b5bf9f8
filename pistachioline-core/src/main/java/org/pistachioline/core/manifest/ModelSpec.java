package org.pistachioline.core.manifest;

/**
 * The declaration of a model and of the replica groups that serve it.
 *
 * @param name the name of the model in requests
 * @param pool the name of the pool whose instances serve the model
 * @param members the number of instances of a replica group
 * @param minReplicas the minimum number of replica groups
 * @param maxReplicas the maximum number of replica groups
 * @param maxConcurrentRequests the number of requests that a replica group runs
 * concurrently in a batch
 */
public record ModelSpec(String name, String pool, int members, int minReplicas, int maxReplicas,
		int maxConcurrentRequests) {

}
