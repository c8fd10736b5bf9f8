package org.pistachioline.core.route;

import java.util.List;

/**
 * A workspace and its keys.
 *
 * @param name the workspace's name
 * @param keySha256 the SHA-256 hashes of its keys, in hex
 * @param priority its rank, which goes before a route's; 0 is the most urgent; negative
 * where it has none
 */
public record WorkspaceApiKeys(String name, List<String> keySha256, int priority) {

	public WorkspaceApiKeys {
		keySha256 = List.copyOf(keySha256);
	}

}
