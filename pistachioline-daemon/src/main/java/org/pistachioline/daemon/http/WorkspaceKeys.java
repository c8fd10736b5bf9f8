package org.pistachioline.daemon.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Optional;

import org.apache.commons.codec.digest.DigestUtils;

import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.WorkspaceSpec;

/**
 * Finds the workspace of a key.
 * <p>
 * Hashes are compared in constant time and all of them each time, so that the time of an
 * answer tells nothing of how much of a guess was right.
 */
final class WorkspaceKeys {

	private static final String BEARER = "Bearer ";

	private WorkspaceKeys() {
	}

	static Optional<WorkspaceSpec> find(Manifest manifest, Optional<String> authorization) {
		if (authorization.isEmpty() || !authorization.get().startsWith(BEARER)) {
			return Optional.empty();
		}
		final byte[] hash = DigestUtils
			.sha256(authorization.get().substring(BEARER.length()).getBytes(StandardCharsets.UTF_8));
		WorkspaceSpec found = null;
		for (final WorkspaceSpec workspace : manifest.workspaces()) {
			for (final String keySha256 : workspace.keySha256()) {
				if (MessageDigest.isEqual(hash, HexFormat.of().parseHex(keySha256))) {
					found = workspace;
				}
			}
		}
		return Optional.ofNullable(found);
	}

}
