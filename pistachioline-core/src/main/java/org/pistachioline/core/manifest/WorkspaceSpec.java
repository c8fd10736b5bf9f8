package org.pistachioline.core.manifest;

import java.util.List;

/**
 * A workspace and what it may use.
 *
 * @param name the workspace's name
 * @param keySha256 the SHA-256 hashes of its keys, in hex
 * @param requestsPerSecond the request rate over all daemons
 * @param tokensInFlight the tokens in flight over all daemons
 * @param queuedRequests the requests that may wait on one daemon
 * @param weight the share in fair queueing
 * @param models the models it may call
 * @param services the services it may call
 */
public record WorkspaceSpec(String name, List<String> keySha256, double requestsPerSecond, long tokensInFlight,
		int queuedRequests, double weight, List<String> models, List<String> services) {

	public WorkspaceSpec {
		keySha256 = List.copyOf(keySha256);
		models = List.copyOf(models);
		services = List.copyOf(services);
	}

}
