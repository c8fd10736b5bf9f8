package org.pistachioline.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;

import org.apache.commons.codec.digest.DigestUtils;

import org.pistachioline.daemon.port.RelayedRequest;

/**
 * Computes a fingerprint that is equal for all attempts and retries of the same request.
 * <p>
 * Method, path with query, workspace and body are included. Headers are not: a retry has
 * another request id, and a caller that resumes a stream repeats the same request. The
 * digest is collision-resistant, so that a caller cannot craft a body whose fingerprint
 * equals that of another caller's request.
 */
final class RequestFingerprint {

	/**
	 * Half of the SHA-256 digest: enough to make collisions within a fleet negligible.
	 */
	private static final int FINGERPRINT_BYTES = 16;

	private static final byte SEPARATOR = 0;

	private RequestFingerprint() {
	}

	/**
	 * Computes the fingerprint of a request.
	 * @param request the request
	 * @return the fingerprint, in hex
	 */
	static String of(RelayedRequest request) {
		final MessageDigest digest = DigestUtils.getSha256Digest();
		add(digest, request.method());
		add(digest, request.pathAndQuery());
		add(digest, request.workspace().orElse(""));
		request.body().digest(digest);
		return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES);
	}

	private static void add(MessageDigest digest, String part) {
		digest.update(part.getBytes(StandardCharsets.UTF_8));
		digest.update(SEPARATOR);
	}

}
