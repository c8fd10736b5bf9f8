package org.pistachioline.core.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers when a target last got past the starting phase of an answer, for each part of
 * prompts. Such a part did not crash that target, and it does not explain crashes of
 * other targets at about the same time.
 */
final class RecentAnswers {

	/**
	 * How long before a crash an answer excuses a part. Longer, a part that begins to
	 * crash targets would be excused by its last harmless answers; shorter, a popular
	 * part could be blamed between two of them.
	 */
	private static final long EXCUSING_NANOS = 1_000_000_000L;

	/** About 150 bytes each. */
	static final int MAX_PARTS = 4_096;

	private final Map<String, Long> answeredAtNanos = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_PARTS;
		}

	};

	void record(long nowNanos, String part) {
		this.answeredAtNanos.put(part, nowNanos);
	}

	/**
	 * Returns whether a part is excused of a crash.
	 * @param part the part
	 * @param crashedAtNanos when the target crashed
	 * @return whether an answer with the part got past its starting phase shortly before,
	 * or later
	 */
	boolean excuse(String part, long crashedAtNanos) {
		final Long answered = this.answeredAtNanos.get(part);
		return answered != null && answered - crashedAtNanos > -EXCUSING_NANOS;
	}

}
