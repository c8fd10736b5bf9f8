package org.pistachioline.core.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers for each request, or part of prompts, when an answer last showed that it does
 * not crash targets. It does not explain crashes of other targets at about the same time.
 */
final class RecentAnswers {

	/**
	 * How long before a crash an answer excuses a suspect. Longer, one that begins to
	 * crash targets would be excused by its last harmless answers; shorter, a popular one
	 * could be blamed between two of them.
	 */
	private static final long EXCUSING_NANOS = 1_000_000_000L;

	/** About 150 bytes each. */
	static final int MAX_SUSPECTS = 4_096;

	private final Map<String, Long> answeredAtNanos = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_SUSPECTS;
		}

	};

	void record(long nowNanos, String suspect) {
		this.answeredAtNanos.put(suspect, nowNanos);
	}

	/**
	 * Returns whether a suspect is excused of a crash.
	 * @param suspect the request's fingerprint or the part's id
	 * @param crashedAtNanos when the target crashed
	 * @return whether it was answered shortly before, or later
	 */
	boolean excuse(String suspect, long crashedAtNanos) {
		final Long answered = this.answeredAtNanos.get(suspect);
		return answered != null && answered - crashedAtNanos > -EXCUSING_NANOS;
	}

}
