package org.pistachioline.core.claims;

import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import org.pistachioline.core.state.WriterMarks;

/**
 * The agreed claims of one partition.
 *
 * @param entries the claims by workspace and key
 * @param writers the marks of the stream's writers
 */
public record ClaimsState(PMap<String, ClaimEntry> entries, WriterMarks writers) {

	/** The state before any claim. */
	public static final ClaimsState EMPTY = new ClaimsState(HashTreePMap.empty(), WriterMarks.EMPTY);

	/**
	 * Finds the claim of a key.
	 * @param workspace the workspace
	 * @param keyHash the hash of the key
	 * @return the claim, if there is one
	 */
	public Optional<ClaimEntry> find(String workspace, String keyHash) {
		return Optional.ofNullable(this.entries.get(keyOf(workspace, keyHash)));
	}

	/**
	 * Returns the name under which a claim is kept.
	 * @param workspace the workspace
	 * @param keyHash the hash of the key
	 * @return the name
	 */
	public static String keyOf(String workspace, String keyHash) {
		return workspace + '/' + keyHash;
	}

	ClaimsState withWriters(WriterMarks marks) {
		return new ClaimsState(this.entries, marks);
	}

	ClaimsState withEntry(String key, ClaimEntry entry) {
		return new ClaimsState(this.entries.plus(key, entry), this.writers);
	}

	ClaimsState without(String key) {
		return new ClaimsState(this.entries.minus(key), this.writers);
	}

}
