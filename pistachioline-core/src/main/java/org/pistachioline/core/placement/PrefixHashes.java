package org.pistachioline.core.placement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Computes chained hashes of a prompt's prefixes, block by block, by which prompts with a
 * common beginning are recognized.
 */
public final class PrefixHashes {

	/** The length of a block, in tokens. */
	public static final int BLOCK_TOKENS = 64;

	/** The bound on hashed blocks; longer prompts are compared by these alone. */
	public static final int MAX_BLOCKS = 64;

	private static final int BYTES_PER_TOKEN = 4;

	private PrefixHashes() {
	}

	/**
	 * Hashes the prefixes of a prompt.
	 * @param prompt the prompt's text
	 * @return the hash of each prefix of whole blocks, the shortest first
	 */
	public static List<Long> of(String prompt) {
		final byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
		final int blockBytes = BLOCK_TOKENS * BYTES_PER_TOKEN;
		final int blocks = Math.min(MAX_BLOCKS, bytes.length / blockBytes);
		final List<Long> hashes = new ArrayList<>(blocks);
		int seed = 0;
		for (int block = 0; block < blocks; block++) {
			final long[] hash = MurmurHash3.hash128x64(bytes, block * blockBytes, blockBytes, seed);
			seed = (int) hash[0];
			hashes.add(hash[0]);
		}
		return hashes;
	}

}
