package org.pistachioline.core.route;

import java.util.List;

/**
 * The API keys and the priority of a workspace.
 *
 * @param name the workspace's name
 * @param keySha256 the SHA-256 hashes of its keys, in hex
 * @param priority the workspace's priority, which overrides that of a route; 0 is the
 * most urgent, and a negative value means none
 * @param sendable whether targets can be told the workspace's name
 */
public record WorkspaceApiKeys(String name, List<String> keySha256, int priority, boolean sendable) {

	public WorkspaceApiKeys {
		keySha256 = List.copyOf(keySha256);
	}

	/**
	 * Creates the keys of a workspace whose name targets can be told.
	 * @param name the workspace's name
	 * @param keySha256 the SHA-256 hashes of its keys, in hex
	 * @param priority the workspace's priority; a negative value means none
	 */
	public WorkspaceApiKeys(String name, List<String> keySha256, int priority) {
		this(name, keySha256, priority, true);
	}

}
