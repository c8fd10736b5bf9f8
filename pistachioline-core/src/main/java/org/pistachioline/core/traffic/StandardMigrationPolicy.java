package org.pistachioline.core.traffic;

/**
 * Says when a running stream is taken off its target and resumed at another.
 * <p>
 * Made for a group that drains, has lost a member or stands still without closing its
 * connections. Such a stream would wait for its deadline, or hold up a planned stop for
 * as long as its longest answer. A resume costs the prompt's prefill once more, so a
 * target that does not serve is given {@value #MAX_DRAIN_SECONDS} s to finish while
 * tokens flow, in which most answers end; one that gives no token for
 * {@value #STALL_TIMEOUT_SECONDS} s is not waited for, which is more than fifty times the
 * usual gap between tokens and twice the bound after which a silent member counts as
 * lost. A target that serves and has not given a first token may just be busy and is left
 * alone.
 */
final class StandardMigrationPolicy implements StreamMigrationPolicy {

	private static final long MAX_DRAIN_SECONDS = 30;

	private static final long STALL_TIMEOUT_SECONDS = 5;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	@Override
	public boolean shouldMigrate(long nowNanos, StreamProgress stream, Long notServingSinceNanos) {
		final boolean stalled = isOlder(nowNanos, stream.progressAtNanos(), STALL_TIMEOUT_SECONDS);
		if (notServingSinceNanos == null) {
			return stalled && stream.attemptHasOutput();
		}
		return isOlder(nowNanos, notServingSinceNanos, stalled ? STALL_TIMEOUT_SECONDS : MAX_DRAIN_SECONDS);
	}

	private static boolean isOlder(long nowNanos, long thenNanos, long seconds) {
		return nowNanos - thenNanos >= seconds * NANOS_PER_SECOND;
	}

}
