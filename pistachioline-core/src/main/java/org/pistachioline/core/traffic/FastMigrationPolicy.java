package org.pistachioline.core.traffic;

/**
 * Migrates a stream as soon as its target has been silent for a fraction of a second.
 * <p>
 * Intended for groups that lose a member every few seconds. Such a group keeps its
 * connections open but delivers nothing for seconds, until its engine detects the loss,
 * while callers give up after about 2 s without an event. A single stream may be slow for
 * other reasons, such as a long prompt ahead of it or a preemption, so it is migrated
 * early only if the target is silent for every request of this daemon. The bound for
 * that, {@value #TARGET_SILENCE_MILLIS} ms, is more than ten times the usual interval
 * between two events and leaves enough of the 2 s for the prefill at another target. A
 * stream that is silent while its target serves others is migrated after
 * {@value #STREAM_SILENCE_MILLIS} ms, in which a fully loaded engine processes the
 * longest prompts. The same bounds apply to a target that accepts no new requests, as it
 * keeps running its present ones while it drains.
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
		final long streamSilenceNanos = nowNanos - stream.progressAtNanos();
		final long targetSilenceNanos = nowNanos - stream.targetProgressAtNanos();
		if (streamSilenceNanos >= STREAM_SILENCE_MILLIS * NANOS_PER_MILLI && stream.attemptHasOutput()) {
			return true;
		}
		return Math.min(streamSilenceNanos, targetSilenceNanos) >= TARGET_SILENCE_MILLIS * NANOS_PER_MILLI;
	}

}
