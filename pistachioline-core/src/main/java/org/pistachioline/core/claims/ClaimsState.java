package org.pistachioline.core.claims;

import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

import org.pistachioline.core.state.WriterMarks;

/**
 * The agreed claims of one partition.
 *
 * @param entries the claims by workspace and key
 * @param byExpiry the keys of the claims by the end of their keeping
 * @param storedBytes how much of the answers is stored
 * @param writers the marks of the stream's writers
 */
public record ClaimsState(PMap<String, ClaimEntry> entries, PSortedMap<Expiry, String> byExpiry, long storedBytes,
		WriterMarks writers) {

	/** The state before any claim. */
	public static final ClaimsState EMPTY = new ClaimsState(HashTreePMap.empty(), WriterMarks.EMPTY);

	/** From how many entries on those past their keeping are dropped. */
	public static final int EVICTION_THRESHOLD_ENTRIES = 8_192;

	/** How many entries a partition holds; with it full, no claim is granted. */
	public static final int MAX_ENTRIES = 32_768;

	/** How much of the answers a partition stores. */
	public static final long MAX_STORED_BYTES = 8L * 1024 * 1024;

	private static final int MAX_EVICTIONS_PER_CLAIM = 4;

	/**
	 * Creates a state from its entries, such as those of a checkpoint.
	 * @param entries the claims by workspace and key
	 * @param writers the marks of the stream's writers
	 */
	public ClaimsState(PMap<String, ClaimEntry> entries, WriterMarks writers) {
		this(entries, indexOf(entries), entries.values().stream().mapToLong(ClaimEntry::storedBytes).sum(), writers);
	}

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
		return new ClaimsState(this.entries, this.byExpiry, this.storedBytes, marks);
	}

	ClaimsState withEntry(String key, ClaimEntry entry) {
		final ClaimEntry before = this.entries.get(key);
		final long replacedBytes = (before != null) ? before.storedBytes() : 0;
		return new ClaimsState(this.entries.plus(key, entry),
				this.byExpiry.plus(new Expiry(entry.retainedUntilMillis(), key), key),
				this.storedBytes - replacedBytes + entry.storedBytes(), this.writers);
	}

	ClaimsState without(String key) {
		final ClaimEntry entry = this.entries.get(key);
		return new ClaimsState(this.entries.minus(key),
				this.byExpiry.minus(new Expiry(entry.retainedUntilMillis(), key)),
				this.storedBytes - entry.storedBytes(), this.writers);
	}

	ClaimsState evictExpired(long atMillis) {
		ClaimsState state = this;
		for (int i = 0; i < MAX_EVICTIONS_PER_CLAIM && state.entries.size() > EVICTION_THRESHOLD_ENTRIES; i++) {
			final Expiry first = state.byExpiry.firstKey();
			if (first.retainedUntilMillis() > atMillis) {
				break;
			}
			state = state.without(first.key());
		}
		return state;
	}

	private static PSortedMap<Expiry, String> indexOf(PMap<String, ClaimEntry> entries) {
		PSortedMap<Expiry, String> index = TreePMap.empty();
		for (final var entry : entries.entrySet()) {
			index = index.plus(new Expiry(entry.getValue().retainedUntilMillis(), entry.getKey()), entry.getKey());
		}
		return index;
	}

}
