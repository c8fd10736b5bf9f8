package org.pistachioline.core.route;

import java.util.List;

/**
 * The API keys and the priority of a workspace.
 *
 * @param name the workspace's name
 * @param keySha256 the SHA-256 hashes of its keys, in hex
 * @param priority the workspace's priority, which overrides that of a route; 0 is the
 * most urgent, and a negative value means none
 */
public record WorkspaceApiKeys(String name, List<String> keySha256, int priority) {

	public WorkspaceApiKeys {
		keySha256 = List.copyOf(keySha256);
	}

}
