package org.pistachioline.core.claims;

import java.util.Comparator;

/**
 * Orders claims by the end of their keeping, and by key where that is the same.
 *
 * @param retainedUntilMillis the end, by the claimer's wall clock
 * @param key the workspace and key
 */
public record Expiry(long retainedUntilMillis, String key) implements Comparable<Expiry> {

	private static final Comparator<Expiry> ORDER = Comparator.comparingLong(Expiry::retainedUntilMillis)
		.thenComparing(Expiry::key);

	@Override
	public int compareTo(Expiry other) {
		return ORDER.compare(this, other);
	}

}
