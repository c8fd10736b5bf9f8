package org.pistachioline.core.traffic;

/**
 * Migrates a stream off a target that has stalled or has not finished it within the drain
 * period.
 * <p>
 * Covers groups that drain, have lost a member, or stall without closing their
 * connections. Without migration such a stream would run into its deadline, or delay a
 * planned shutdown for the length of the longest response. A resume costs a second
 * prefill of the prompt. A target that does not serve therefore gets
 * {@value #MAX_DRAIN_SECONDS} s to finish while tokens flow, which is enough for most
 * responses. A target that delivers no token for {@value #STALL_TIMEOUT_SECONDS} s counts
 * as stalled; this is more than fifty times the usual interval between tokens and twice
 * the timeout after which a silent member counts as lost. A serving target that has not
 * delivered the first token may just be busy, so its stream is not migrated.
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
