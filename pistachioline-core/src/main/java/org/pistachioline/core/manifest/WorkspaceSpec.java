package org.pistachioline.core.manifest;

import java.util.List;

/**
 * The declaration of a workspace with its API keys, limits and permissions.
 *
 * @param name the name of the workspace
 * @param keySha256 the SHA-256 hashes of the workspace's API keys, in hexadecimal
 * @param requestsPerSecond the maximum request rate over all daemons
 * @param tokensInFlight the maximum number of tokens in flight over all daemons
 * @param queuedRequests the maximum number of queued requests on each daemon
 * @param weight the weight in fair queueing
 * @param models the models that the workspace may use
 * @param services the services that the workspace may use
 */
public record WorkspaceSpec(String name, List<String> keySha256, double requestsPerSecond, long tokensInFlight,
		int queuedRequests, double weight, List<String> models, List<String> services) {

	public WorkspaceSpec {
		keySha256 = List.copyOf(keySha256);
		models = List.copyOf(models);
		services = List.copyOf(services);
	}

}
