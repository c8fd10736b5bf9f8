package org.pistachioline.core.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The known status of the other daemons, and the choice of what to gossip about them.
 * <p>
 * Designed for fleets of 370 daemons, with gossip traffic that does not grow with the
 * fleet. Each heartbeat therefore carries a sample of bounded size: first the daemons
 * whose change has been sent the fewest times, so that a new configuration is seen in
 * force within seconds, then those that have not been sent for longest, so that no daemon
 * is left out and considered dead. As gossip about a daemon arrives less often in a
 * larger fleet, the timeout after which a silent daemon is considered dead grows with the
 * number of daemons. The presence of replica group members is proven by other means and
 * does not depend on this timeout.
 */
public final class PeerTable {

	/** The most complete statuses in one heartbeat, in addition to the sender's own. */
	public static final int MAX_STATUSES = 3;

	/** The most updates in one heartbeat. */
	public static final int MAX_UPDATES = 32;

	/**
	 * How many times a change is sent with priority. Receivers pass it on in turn, so it
	 * reaches 370 daemons in about log2(370) rounds.
	 */
	private static final int CHANGE_TRANSMISSIONS = 3;

	/** The fleet size at which the timeout is twice the base timeout. */
	private static final int TIMEOUT_DOUBLING_DAEMONS = 48;

	/**
	 * The last status of a dead daemon is retained for this many timeouts, though no
	 * longer sent.
	 */
	private static final int RETENTION_TIMEOUTS = 4;

	/** Further daemons are ignored, so that a faulty peer cannot exhaust the memory. */
	private static final int MAX_DAEMONS = 4_096;

	private final String selfId;

	private final long baseTimeoutNanos;

	private final Map<String, Entry> peers = new HashMap<>();

	private long sendSequence;

	private boolean changed;

	/**
	 * Creates an empty table.
	 * @param selfId this daemon's name
	 * @param baseTimeoutNanos the time after which a silent daemon is considered dead in
	 * a small fleet
	 */
	public PeerTable(String selfId, long baseTimeoutNanos) {
		this.selfId = selfId;
		this.baseTimeoutNanos = baseTimeoutNanos;
	}

	/**
	 * Merges a status received by gossip.
	 * @param status the status
	 * @param nowNanos the monotonic time
	 * @return whether the daemon was not live before
	 */
	public boolean merge(PeerStatus status, long nowNanos) {
		if (status.daemonId().equals(this.selfId)) {
			return false;
		}
		final Entry entry = this.peers.get(status.daemonId());
		if (entry == null) {
			if (this.peers.size() >= MAX_DAEMONS) {
				return false;
			}
			this.peers.put(status.daemonId(), new Entry(status, nowNanos));
			this.changed = true;
			return true;
		}
		return status.isNewerThan(entry.status) && renew(entry, status, nowNanos);
	}

	/**
	 * Merges an update received by gossip. Updates of unknown daemons and of other
	 * incarnations are ignored.
	 * @param update the update
	 * @param nowNanos the monotonic time
	 * @return whether the daemon was not live before
	 */
	public boolean merge(PeerUpdate update, long nowNanos) {
		final Entry entry = this.peers.get(update.daemonId());
		// An update has no addresses, and those of another incarnation may differ.
		if (entry == null || entry.status.incarnation() != update.incarnation()
				|| update.sequence() <= entry.status.sequence()) {
			return false;
		}
		return renew(entry, entry.status.withUpdate(update), nowNanos);
	}

	/**
	 * Returns whether a daemon is live in the incarnation that a status shows.
	 * @param status the status
	 * @param nowNanos the monotonic time
	 * @return whether the daemon's timeout has not passed since it was last heard of
	 */
	public boolean isLive(PeerStatus status, long nowNanos) {
		final Entry entry = this.peers.get(status.daemonId());
		return entry != null && entry.status.incarnation() == status.incarnation()
				&& nowNanos - entry.lastHeardAtNanos <= timeoutNanos();
	}

	private boolean renew(Entry entry, PeerStatus newer, long nowNanos) {
		this.changed |= newer.incarnation() != entry.status.incarnation() || newer.hasChangedSince(entry.status);
		final boolean wasLost = entry.renew(newer, nowNanos, timeoutNanos());
		this.changed |= wasLost;
		return wasLost;
	}

	/**
	 * Returns whether the table has changed since the last call. The time at which a
	 * daemon was last heard of does not count, as in a large fleet most frames change
	 * nothing else.
	 * @return whether it has
	 */
	public boolean takeChanged() {
		final boolean wasSet = this.changed;
		this.changed = false;
		return wasSet;
	}

	/**
	 * Chooses the statuses and updates for the next heartbeat. Dead daemons are left out:
	 * otherwise each receiver would send their last status to others again, and it would
	 * circulate forever.
	 * @param nowNanos the monotonic time
	 * @return the sample
	 */
	public GossipSample sample(long nowNanos) {
		final long timeoutNanos = timeoutNanos();
		final List<Entry> byUrgency = new ArrayList<>(this.peers.values());
		byUrgency.removeIf((entry) -> nowNanos - entry.lastHeardAtNanos > timeoutNanos);
		byUrgency.sort(Entry.BY_URGENCY);
		final List<PeerStatus> statuses = new ArrayList<>();
		final List<PeerUpdate> updates = new ArrayList<>();
		final long sequenceBefore = this.sendSequence;
		final List<Entry> byStatusSent = new ArrayList<>(byUrgency);
		byStatusSent.sort(Comparator.comparingLong((entry) -> entry.statusSentSequence));
		for (final Entry entry : byStatusSent.subList(0, Math.min(MAX_STATUSES, byStatusSent.size()))) {
			this.sendSequence++;
			entry.statusSentSequence = this.sendSequence;
			entry.markSent(this.sendSequence);
			statuses.add(entry.status);
		}
		for (final Entry entry : byUrgency) {
			if (updates.size() < MAX_UPDATES && entry.statusSentSequence <= sequenceBefore) {
				this.sendSequence++;
				entry.markSent(this.sendSequence);
				updates.add(entry.status.toUpdate());
			}
		}
		return new GossipSample(statuses, updates);
	}

	/**
	 * Returns the live daemons other than this one, and removes those that have been dead
	 * for long.
	 * @param nowNanos the monotonic time
	 * @return the status of each, sorted by name
	 */
	public List<PeerStatus> live(long nowNanos) {
		final long timeoutNanos = timeoutNanos();
		// Retained longer than other daemons send its status, so that a late copy of the
		// status does not make a dead daemon appear live.
		this.peers.values().removeIf((entry) -> nowNanos - entry.lastHeardAtNanos > RETENTION_TIMEOUTS * timeoutNanos);
		final Map<String, PeerStatus> live = new TreeMap<>();
		for (final Entry entry : this.peers.values()) {
			if (nowNanos - entry.lastHeardAtNanos <= timeoutNanos) {
				live.put(entry.status.daemonId(), entry.status);
			}
		}
		return new ArrayList<>(live.values());
	}

	private long timeoutNanos() {
		return this.baseTimeoutNanos + this.baseTimeoutNanos * this.peers.size() / TIMEOUT_DOUBLING_DAEMONS;
	}

	private static final class Entry {

		static final Comparator<Entry> BY_URGENCY = Comparator.comparingInt((Entry entry) -> -entry.transmissionsLeft)
			.thenComparingLong((entry) -> entry.sentSequence);

		private PeerStatus status;

		private long lastHeardAtNanos;

		private int transmissionsLeft = CHANGE_TRANSMISSIONS;

		private long sentSequence;

		private long statusSentSequence;

		Entry(PeerStatus status, long lastHeardAtNanos) {
			this.status = status;
			this.lastHeardAtNanos = lastHeardAtNanos;
		}

		boolean renew(PeerStatus newer, long nowNanos, long timeoutNanos) {
			final boolean wasLost = nowNanos - this.lastHeardAtNanos > timeoutNanos;
			if (newer.incarnation() != this.status.incarnation()) {
				this.statusSentSequence = 0;
				this.transmissionsLeft = CHANGE_TRANSMISSIONS;
			}
			if (newer.hasChangedSince(this.status)) {
				this.transmissionsLeft = CHANGE_TRANSMISSIONS;
			}
			this.status = newer;
			this.lastHeardAtNanos = nowNanos;
			return wasLost;
		}

		void markSent(long sequence) {
			this.sentSequence = sequence;
			this.transmissionsLeft = Math.max(0, this.transmissionsLeft - 1);
		}

	}

}
