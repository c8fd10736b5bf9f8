package org.pistachioline.core.listing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Entries that are used on though the list shows them no longer, as their instances may
 * live.
 * <p>
 * While the platform's store is away, entries lapse that their instances could not renew;
 * a stranger's record, or the late word of an instance's former life, may stand in an
 * entry's place. A live instance writes again within a heartbeat. Taken out before, it
 * would break its group for nothing.
 */
final class UnconfirmedRemovals {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Three heartbeats: by then an instance has written again, or is taken for gone. */
	private static final long CONFIRMATION_NANOS = 3_600 * NANOS_PER_MILLI;

	private final Map<String, UnconfirmedRemoval> removals = new HashMap<>();

	/**
	 * Keeps an entry that went, unless one is kept already.
	 * @param nowNanos the monotonic time
	 * @param entry the entry
	 * @param removedOffset where it went
	 * @param cause why its instance may live
	 */
	void retain(long nowNanos, InstanceRecord.Listed entry, long goneOffset, Cause cause) {
		this.removals.putIfAbsent(entry.key(), new UnconfirmedRemoval(entry, goneOffset, nowNanos, cause));
	}

	/**
	 * Ends the doubt about an instance, as it is listed again or has certainly gone.
	 * @param key the instance's key
	 * @return whether there was a doubt
	 */
	boolean resolve(String key) {
		return this.removals.remove(key) != null;
	}

	/**
	 * Ends what time or the platform's state has settled.
	 * @param nowNanos the monotonic time
	 * @param unsettled whether entries may have lapsed though their instances live
	 * @return whether a doubt ended
	 */
	boolean resolveExpired(long nowNanos, boolean unsettled) {
		return this.removals.values()
			.removeIf((doubt) -> (doubt.cause() == Cause.LEASE_EXPIRED) ? !unsettled
					: nowNanos - doubt.sinceNanos() >= CONFIRMATION_NANOS);
	}

	/**
	 * Ends the doubts that another daemon told and that are shared no longer.
	 * @param change what a daemon tells now
	 * @return whether a doubt ended
	 */
	boolean resolveReportedByPeer(ListingDelta change) {
		return this.removals.values()
			.removeIf((doubt) -> doubt.cause() == Cause.REPORTED_BY_PEER && doubt.removedOffset() < change.nextOffset()
					&& !change.unconfirmedKeys().contains(doubt.entry().key()));
	}

	/**
	 * Returns the entry that a doubtful instance had.
	 * @param key the instance's key
	 * @return the entry; empty where there is no doubt
	 */
	Optional<InstanceRecord.Listed> entry(String key) {
		return Optional.ofNullable(this.removals.get(key)).map(UnconfirmedRemoval::entry);
	}

	/**
	 * Returns the entries that the doubtful instances had.
	 * @return the entries
	 */
	Collection<InstanceRecord.Listed> entries() {
		final List<InstanceRecord.Listed> entries = new ArrayList<>();
		this.removals.values().forEach((doubt) -> entries.add(doubt.entry()));
		return entries;
	}

	/**
	 * Returns the keys of the doubtful instances.
	 * @return the keys
	 */
	Set<String> keys() {
		return Set.copyOf(this.removals.keySet());
	}

	/**
	 * Why an instance may live whose entry went.
	 */
	enum Cause {

		/** Its entry may have lapsed while the platform's store was away. */
		LEASE_EXPIRED,

		/**
		 * Another writer's record, or its own former life's, stands in its entry's place.
		 */
		OVERWRITTEN,

		/** The daemon that told of it doubts that it has gone. */
		REPORTED_BY_PEER

	}

	/**
	 * An instance that may live.
	 *
	 * @param entry the entry that it had
	 * @param removedOffset where it went
	 * @param sinceNanos since when it is in doubt, by the monotonic clock
	 * @param cause why it may live
	 */
	private record UnconfirmedRemoval(InstanceRecord.Listed entry, long removedOffset, long sinceNanos, Cause cause) {

	}

}
