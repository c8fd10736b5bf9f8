package org.pistachioline.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;

import org.apache.commons.codec.digest.DigestUtils;

import org.pistachioline.daemon.port.RelayedRequest;

/**
 * Tells whether two calls ask for the same thing, whatever the ids of their attempts.
 * <p>
 * Calls are the same if method, path with query, workspace and body are. A digest that
 * cannot be forged keeps a caller from making up a body that stands for another's. A
 * caller who resumes a stream asks for the same thing, so the headers do not count.
 */
final class RequestFingerprint {

	/** Half of the digest: enough for no two calls of a fleet to have the same. */
	private static final int FINGERPRINT_BYTES = 16;

	private static final byte SEPARATOR = 0;

	private RequestFingerprint() {
	}

	/**
	 * Computes the fingerprint of a call.
	 * @param call the call
	 * @return the fingerprint, in hex
	 */
	static String of(RelayedRequest call) {
		final MessageDigest digest = DigestUtils.getSha256Digest();
		add(digest, call.method());
		add(digest, call.pathAndQuery());
		add(digest, call.workspace().orElse(""));
		call.body().digest(digest);
		return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES);
	}

	private static void add(MessageDigest digest, String part) {
		digest.update(part.getBytes(StandardCharsets.UTF_8));
		digest.update(SEPARATOR);
	}

}
