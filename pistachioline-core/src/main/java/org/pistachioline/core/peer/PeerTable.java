package org.pistachioline.core.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The other daemons as far as heartbeats have told, and what to tell of them next.
 * <p>
 * Made for 370 daemons that together send each other a fixed number of bytes a second,
 * whatever their number. So a heartbeat tells of a bounded sample: first what changed and
 * was told seldom, since a configuration should be seen in force within seconds, then
 * what was not told for longest, so that nobody is left out and thought dead. How long a
 * silent daemon counts as live grows with the fleet, as news of it comes by more rarely;
 * proofs of presence do not lean on it.
 */
public final class PeerTable {

	/** How many whole statuses one heartbeat tells besides the sender's. */
	public static final int MAX_STATUSES = 3;

	/** How many daemons' news one heartbeat tells. */
	public static final int MAX_UPDATES = 32;

	/**
	 * How often a change is told before it waits its turn again: the receivers tell it
	 * on, so that it reaches 370 daemons in about as many steps as their number has bits.
	 */
	private static final int CHANGE_TRANSMISSIONS = 3;

	/** The growth of the live bound: a fleet this large doubles it. */
	private static final int TIMEOUT_DOUBLING_DAEMONS = 48;

	/** How many live bounds the last word of a dead daemon is kept, though not told. */
	private static final int RETENTION_TIMEOUTS = 4;

	/** More daemons than this are not kept, so that no peer can fill the memory. */
	private static final int MAX_DAEMONS = 4_096;

	private final String selfId;

	private final long baseTimeoutNanos;

	private final Map<String, Entry> peers = new HashMap<>();

	private long sendSequence;

	private boolean changed;

	/**
	 * Creates an empty table.
	 * @param selfId this daemon's name
	 * @param liveBoundNanos how long a silent daemon counts as live in a small fleet
	 */
	public PeerTable(String selfId, long liveBoundNanos) {
		this.selfId = selfId;
		this.baseTimeoutNanos = liveBoundNanos;
	}

	/**
	 * Takes what is told of a daemon.
	 * @param status what it said of itself
	 * @param nowNanos the monotonic time
	 * @return whether the daemon was not live before
	 */
	public boolean merge(PeerStatus status, long nowNanos) {
		if (status.daemonId().equals(this.selfId)) {
			return false;
		}
		final Entry known = this.peers.get(status.daemonId());
		if (known == null) {
			if (this.peers.size() >= MAX_DAEMONS) {
				return false;
			}
			this.peers.put(status.daemonId(), new Entry(status, nowNanos));
			this.changed = true;
			return true;
		}
		return status.isNewerThan(known.status) && renew(known, status, nowNanos);
	}

	/**
	 * Takes what is told of a daemon whose whole status came before.
	 * @param news what changed
	 * @param nowNanos the monotonic time
	 * @return whether the daemon was not live before
	 */
	public boolean merge(PeerUpdate news, long nowNanos) {
		final Entry known = this.peers.get(news.daemonId());
		// Another start may have other addresses: only its whole status tells them.
		if (known == null || known.status.incarnation() != news.incarnation()
				|| news.sequence() <= known.status.sequence()) {
			return false;
		}
		return renew(known, known.status.withUpdate(news), nowNanos);
	}

	/**
	 * Returns whether a daemon has been heard of lately in its present incarnation.
	 * @param status what it says of itself
	 * @param nowNanos the monotonic time
	 * @return whether it has
	 */
	public boolean isLive(PeerStatus status, long nowNanos) {
		final Entry known = this.peers.get(status.daemonId());
		return known != null && known.status.incarnation() == status.incarnation()
				&& nowNanos - known.lastHeardAtNanos <= timeoutNanos();
	}

	private boolean renew(Entry known, PeerStatus newer, long nowNanos) {
		this.changed |= newer.incarnation() != known.status.incarnation() || newer.hasChangedSince(known.status);
		final boolean wasLost = known.renew(newer, nowNanos, timeoutNanos());
		this.changed |= wasLost;
		return wasLost;
	}

	/**
	 * Returns whether anything but the time at which daemons were heard of has changed
	 * since the last call. In a large fleet most frames say only that all still live.
	 * @return whether it has
	 */
	public boolean takeChanged() {
		final boolean now = this.changed;
		this.changed = false;
		return now;
	}

	/**
	 * Chooses what the next heartbeat tells. The dead are not told of: each that hears of
	 * them would tell others, and their last words would go round for ever.
	 * @param nowNanos the monotonic time
	 * @return the sample
	 */
	public GossipSample sample(long nowNanos) {
		final long boundNanos = timeoutNanos();
		final List<Entry> order = new ArrayList<>(this.peers.values());
		order.removeIf((known) -> nowNanos - known.lastHeardAtNanos > boundNanos);
		order.sort(Entry.BY_URGENCY);
		final List<PeerStatus> whole = new ArrayList<>();
		final List<PeerUpdate> news = new ArrayList<>();
		final long before = this.sendSequence;
		final List<Entry> byWhole = new ArrayList<>(order);
		byWhole.sort(Comparator.comparingLong((known) -> known.statusSentSequence));
		for (final Entry known : byWhole.subList(0, Math.min(MAX_STATUSES, byWhole.size()))) {
			this.sendSequence++;
			known.statusSentSequence = this.sendSequence;
			known.markSent(this.sendSequence);
			whole.add(known.status);
		}
		for (final Entry known : order) {
			if (news.size() < MAX_UPDATES && known.statusSentSequence <= before) {
				this.sendSequence++;
				known.markSent(this.sendSequence);
				news.add(known.status.toUpdate());
			}
		}
		return new GossipSample(whole, news);
	}

	/**
	 * Returns the live daemons besides this one, and forgets those long dead.
	 * @param nowNanos the monotonic time
	 * @return what each said of itself, by name
	 */
	public List<PeerStatus> live(long nowNanos) {
		final long boundNanos = timeoutNanos();
		// Kept longer than others tell of it: an echo must not raise the dead.
		this.peers.values().removeIf((known) -> nowNanos - known.lastHeardAtNanos > RETENTION_TIMEOUTS * boundNanos);
		final Map<String, PeerStatus> live = new TreeMap<>();
		for (final Entry known : this.peers.values()) {
			if (nowNanos - known.lastHeardAtNanos <= boundNanos) {
				live.put(known.status.daemonId(), known.status);
			}
		}
		return new ArrayList<>(live.values());
	}

	private long timeoutNanos() {
		return this.baseTimeoutNanos + this.baseTimeoutNanos * this.peers.size() / TIMEOUT_DOUBLING_DAEMONS;
	}

	private static final class Entry {

		static final Comparator<Entry> BY_URGENCY = Comparator.comparingInt((Entry known) -> -known.transmissionsLeft)
			.thenComparingLong((known) -> known.sentSequence);

		private PeerStatus status;

		private long lastHeardAtNanos;

		private int transmissionsLeft = CHANGE_TRANSMISSIONS;

		private long sentSequence;

		private long statusSentSequence;

		Entry(PeerStatus status, long heardAtNanos) {
			this.status = status;
			this.lastHeardAtNanos = heardAtNanos;
		}

		boolean renew(PeerStatus newer, long nowNanos, long boundNanos) {
			final boolean wasLost = nowNanos - this.lastHeardAtNanos > boundNanos;
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

		void markSent(long at) {
			this.sentSequence = at;
			this.transmissionsLeft = Math.max(0, this.transmissionsLeft - 1);
		}

	}

}
