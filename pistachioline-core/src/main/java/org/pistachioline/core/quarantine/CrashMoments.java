package org.pistachioline.core.quarantine;

import java.util.Collection;
import java.util.List;

/**
 * Groups crashes by the moment at which they happened. Targets that crash at the same
 * moment have a common cause outside of their requests, such as a failed rack, so that
 * they are one piece of evidence.
 */
final class CrashMoments {

	/** Daemons notice a crash, and report it to each other, within milliseconds. */
	private static final long MOMENT_NANOS = 30_000_000L;

	private CrashMoments() {
	}

	/**
	 * Returns whether two crashes happened at the same moment.
	 * @param oneNanos the time of one crash
	 * @param otherNanos the time of the other
	 * @return whether they have a common cause
	 */
	static boolean isSame(long oneNanos, long otherNanos) {
		return Math.abs(otherNanos - oneNanos) < MOMENT_NANOS;
	}

	/**
	 * Returns whether a crash happened before a moment or at it.
	 * @param crashedAtNanos the time of the crash
	 * @param momentNanos the moment
	 * @return true unless it happened at a later moment
	 */
	static boolean isNotAfter(long crashedAtNanos, long momentNanos) {
		return crashedAtNanos - momentNanos < MOMENT_NANOS;
	}

	/**
	 * Returns how much of the moment of a crash is left.
	 * @param ageNanos the time since the crash, in nanoseconds
	 * @return the rest in nanoseconds; 0 if the moment has passed
	 */
	static long remainingNanos(long ageNanos) {
		return Math.max(0, MOMENT_NANOS - ageNanos);
	}

	/**
	 * Counts the moments of some crashes.
	 * @param crashedAtNanos the times of the crashes, in nanoseconds and in any order
	 * @return the number of different moments
	 */
	static int count(Collection<Long> crashedAtNanos) {
		final List<Long> sorted = crashedAtNanos.stream().sorted().toList();
		int moments = 0;
		long momentNanos = 0;
		for (final long timeNanos : sorted) {
			if (moments == 0 || !isSame(momentNanos, timeNanos)) {
				moments++;
				momentNanos = timeNanos;
			}
		}
		return moments;
	}

}
