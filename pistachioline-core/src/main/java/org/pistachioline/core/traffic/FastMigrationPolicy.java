package org.pistachioline.core.traffic;

/**
 * Moves a stream as soon as its target has stood still for a fraction of a second.
 * <p>
 * Made for groups that lose a member every few seconds. Such a group keeps its
 * connections open and delivers nothing for seconds, until its engine notices the loss; a
 * caller gives up after about two seconds without an event. One request may be slow for
 * its own reasons, a long prompt before it or a preemption, so it is moved early only
 * where the whole target is silent: no request of this daemon got anything from there. At
 * {@value #TARGET_SILENCE_MILLIS} ms that is more than ten times the usual gap between
 * two events and leaves a caller who waits 2 s time for the prefill at another target. A
 * stream that alone stands still is moved after {@value #STREAM_SILENCE_MILLIS} ms, in
 * which a full engine reads the longest prompts. A target that takes no new work is given
 * the same times, as its work goes on while it drains.
 */
public final class FastMigrationPolicy implements StreamMigrationPolicy {

	private static final long TARGET_SILENCE_MILLIS = 600;

	private static final long STREAM_SILENCE_MILLIS = 1_500;

	private static final long NANOS_PER_MILLI = 1_000_000;

	@Override
	public boolean reportsStalls() {
		return true;
	}

	@Override
	public boolean shouldMigrate(long nowNanos, StreamProgress stream, Long notServingSinceNanos) {
		final long silentNanos = nowNanos - stream.progressAtNanos();
		final long targetSilentNanos = nowNanos - stream.targetProgressAtNanos();
		if (silentNanos >= STREAM_SILENCE_MILLIS * NANOS_PER_MILLI && stream.attemptHasOutput()) {
			return true;
		}
		return Math.min(silentNanos, targetSilentNanos) >= TARGET_SILENCE_MILLIS * NANOS_PER_MILLI;
	}

}
