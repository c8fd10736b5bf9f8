package org.pistachioline.daemon.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Optional;

import org.apache.commons.codec.digest.DigestUtils;

import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.WorkspaceSpec;

/**
 * Finds the workspace that an API key belongs to.
 * <p>
 * Every lookup compares the hashes of all keys, each in constant time, so that the
 * response time reveals nothing about how close a guess is.
 */
final class WorkspaceKeys {

	private static final String BEARER = "Bearer ";

	private WorkspaceKeys() {
	}

	static Optional<WorkspaceSpec> find(Manifest manifest, Optional<String> authorization) {
		if (authorization.isEmpty() || !authorization.get().regionMatches(true, 0, BEARER, 0, BEARER.length())) {
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
