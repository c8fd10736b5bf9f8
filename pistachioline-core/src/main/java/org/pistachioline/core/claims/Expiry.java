package org.pistachioline.core.claims;

import java.util.Comparator;

/**
 * The sort key of claims: the end of their retention, then their map key.
 *
 * @param retainedUntilMillis the end of the retention, by the claimer's wall clock
 * @param key the map key of the claim, made of workspace and idempotency key
 */
public record Expiry(long retainedUntilMillis, String key) implements Comparable<Expiry> {

	private static final Comparator<Expiry> ORDER = Comparator.comparingLong(Expiry::retainedUntilMillis)
		.thenComparing(Expiry::key);

	@Override
	public int compareTo(Expiry other) {
		return ORDER.compare(this, other);
	}

}
