package org.pistachioline.core.listing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Removed entries that remain in use because their instances may still be alive.
 * <p>
 * While the platform's store is unavailable, entries expire because their instances
 * cannot renew them. An entry may also be replaced by another writer's record, or by a
 * late record of the instance's previous incarnation. A live instance renews its entry
 * with its next heartbeat; removing it earlier would break its replica group for nothing.
 */
final class UnconfirmedRemovals {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Three heartbeat intervals: an instance that has not renewed its entry by then is
	 * considered gone.
	 */
	private static final long CONFIRMATION_NANOS = 3_600 * NANOS_PER_MILLI;

	private final Map<String, UnconfirmedRemoval> removals = new HashMap<>();

	/**
	 * Retains a removed entry, unless one is retained for the instance already.
	 * @param nowNanos the monotonic time
	 * @param entry the entry
	 * @param removedOffset the offset of the removal
	 * @param cause why the instance may be alive
	 */
	void retain(long nowNanos, InstanceRecord.Listed entry, long removedOffset, Cause cause) {
		this.removals.putIfAbsent(entry.key(), new UnconfirmedRemoval(entry, removedOffset, nowNanos, cause));
	}

	/**
	 * Forgets a removal, because the instance is listed again or is certainly gone.
	 * @param key the instance's key
	 * @return whether its removal was unconfirmed
	 */
	boolean resolve(String key) {
		return this.removals.remove(key) != null;
	}

	/**
	 * Forgets the removals whose confirmation time has passed and, while the store works
	 * normally, those of expired leases.
	 * @param nowNanos the monotonic time
	 * @param expiryUnreliable whether entries may expire although their instances are
	 * alive, because the platform's store is or was recently unavailable
	 * @return whether there was such a removal
	 */
	boolean resolveExpired(long nowNanos, boolean expiryUnreliable) {
		return this.removals.values()
			.removeIf((removal) -> (removal.cause() == Cause.LEASE_EXPIRED) ? !expiryUnreliable
					: nowNanos - removal.sinceNanos() >= CONFIRMATION_NANOS);
	}

	/**
	 * Forgets the removals that were reported by a peer and are now confirmed by one.
	 * @param delta a delta from a peer
	 * @return whether there was such a removal
	 */
	boolean resolveReportedByPeer(ListingDelta delta) {
		return this.removals.values()
			.removeIf((removal) -> removal.cause() == Cause.REPORTED_BY_PEER
					&& removal.removedOffset() < delta.nextOffset()
					&& !delta.unconfirmedKeys().contains(removal.entry().key()));
	}

	/**
	 * Returns the retained entry of an instance.
	 * @param key the instance's key
	 * @return the entry; empty if the instance has no unconfirmed removal
	 */
	Optional<InstanceRecord.Listed> entry(String key) {
		return Optional.ofNullable(this.removals.get(key)).map(UnconfirmedRemoval::entry);
	}

	/**
	 * Returns all retained entries.
	 * @return the entries
	 */
	Collection<InstanceRecord.Listed> entries() {
		final List<InstanceRecord.Listed> entries = new ArrayList<>();
		this.removals.values().forEach((removal) -> entries.add(removal.entry()));
		return entries;
	}

	/**
	 * Returns the keys of all retained entries.
	 * @return the keys
	 */
	Set<String> keys() {
		return Set.copyOf(this.removals.keySet());
	}

	/**
	 * Reasons why an instance may be alive although its entry was removed.
	 */
	enum Cause {

		/**
		 * The entry may have expired only because the platform's store was unavailable.
		 */
		LEASE_EXPIRED,

		/**
		 * The entry was replaced by a record of another writer or of an earlier
		 * incarnation.
		 */
		OVERWRITTEN,

		/** The peer that sent the removal considers it unconfirmed. */
		REPORTED_BY_PEER

	}

	/**
	 * A removal that is not confirmed yet.
	 *
	 * @param entry the removed entry
	 * @param removedOffset the offset of the removal
	 * @param sinceNanos the monotonic time at which this daemon learned of the removal
	 * @param cause why the instance may be alive
	 */
	private record UnconfirmedRemoval(InstanceRecord.Listed entry, long removedOffset, long sinceNanos, Cause cause) {

	}

}
