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
final class DoubtfulInstances {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Three heartbeats: by then an instance has written again, or is taken for gone. */
	private static final long DOUBT_NANOS = 3_600 * NANOS_PER_MILLI;

	private final Map<String, Doubt> doubts = new HashMap<>();

	/**
	 * Keeps an entry that went, unless one is kept already.
	 * @param nowNanos the monotonic time
	 * @param entry the entry
	 * @param goneOffset where it went
	 * @param cause why its instance may live
	 */
	void keep(long nowNanos, InstanceRecord.Listed entry, long goneOffset, Cause cause) {
		this.doubts.putIfAbsent(entry.key(), new Doubt(entry, goneOffset, nowNanos, cause));
	}

	/**
	 * Ends the doubt about an instance, as it is listed again or has certainly gone.
	 * @param key the instance's key
	 * @return whether there was a doubt
	 */
	boolean end(String key) {
		return this.doubts.remove(key) != null;
	}

	/**
	 * Ends what time or the platform's state has settled.
	 * @param nowNanos the monotonic time
	 * @param unsettled whether entries may have lapsed though their instances live
	 * @return whether a doubt ended
	 */
	boolean settle(long nowNanos, boolean unsettled) {
		return this.doubts.values()
			.removeIf((doubt) -> (doubt.cause() == Cause.LAPSED) ? !unsettled
					: nowNanos - doubt.sinceNanos() >= DOUBT_NANOS);
	}

	/**
	 * Ends the doubts that another daemon told and that are shared no longer.
	 * @param change what a daemon tells now
	 * @return whether a doubt ended
	 */
	boolean settleTold(ListingChange change) {
		return this.doubts.values()
			.removeIf((doubt) -> doubt.cause() == Cause.TOLD && doubt.goneOffset() < change.nextOffset()
					&& !change.doubtedKeys().contains(doubt.entry().key()));
	}

	/**
	 * Returns the entry that a doubtful instance had.
	 * @param key the instance's key
	 * @return the entry; empty where there is no doubt
	 */
	Optional<InstanceRecord.Listed> entry(String key) {
		return Optional.ofNullable(this.doubts.get(key)).map(Doubt::entry);
	}

	/**
	 * Returns the entries that the doubtful instances had.
	 * @return the entries
	 */
	Collection<InstanceRecord.Listed> entries() {
		final List<InstanceRecord.Listed> entries = new ArrayList<>();
		this.doubts.values().forEach((doubt) -> entries.add(doubt.entry()));
		return entries;
	}

	/**
	 * Returns the keys of the doubtful instances.
	 * @return the keys
	 */
	Set<String> keys() {
		return Set.copyOf(this.doubts.keySet());
	}

	/**
	 * Why an instance may live whose entry went.
	 */
	enum Cause {

		/** Its entry may have lapsed while the platform's store was away. */
		LAPSED,

		/**
		 * Another writer's record, or its own former life's, stands in its entry's place.
		 */
		OVERWRITTEN,

		/** The daemon that told of it doubts that it has gone. */
		TOLD

	}

	/**
	 * An instance that may live.
	 *
	 * @param entry the entry that it had
	 * @param goneOffset where it went
	 * @param sinceNanos since when it is in doubt, by the monotonic clock
	 * @param cause why it may live
	 */
	private record Doubt(InstanceRecord.Listed entry, long goneOffset, long sinceNanos, Cause cause) {

	}

}
