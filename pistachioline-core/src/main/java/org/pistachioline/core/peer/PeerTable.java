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
	public static final int MAX_WHOLE = 3;

	/** How many daemons' news one heartbeat tells. */
	public static final int MAX_NEWS = 32;

	/**
	 * How often a change is told before it waits its turn again: the receivers tell it
	 * on, so that it reaches 370 daemons in about as many steps as their number has bits.
	 */
	private static final int NEWS_REPEATS = 3;

	/** The growth of the live bound: a fleet this large doubles it. */
	private static final int DOUBLING_DAEMONS = 48;

	/** How many live bounds the last word of a dead daemon is kept, though not told. */
	private static final int FORGOTTEN_BOUNDS = 4;

	/** More daemons than this are not kept, so that no peer can fill the memory. */
	private static final int MAX_DAEMONS = 4_096;

	private final String selfId;

	private final long liveBoundNanos;

	private final Map<String, Known> peers = new HashMap<>();

	private long told;

	private boolean changed;

	/**
	 * Creates an empty table.
	 * @param selfId this daemon's name
	 * @param liveBoundNanos how long a silent daemon counts as live in a small fleet
	 */
	public PeerTable(String selfId, long liveBoundNanos) {
		this.selfId = selfId;
		this.liveBoundNanos = liveBoundNanos;
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
		final Known known = this.peers.get(status.daemonId());
		if (known == null) {
			if (this.peers.size() >= MAX_DAEMONS) {
				return false;
			}
			this.peers.put(status.daemonId(), new Known(status, nowNanos));
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
	public boolean merge(PeerNews news, long nowNanos) {
		final Known known = this.peers.get(news.daemonId());
		// Another start may have other addresses: only its whole status tells them.
		if (known == null || known.status.incarnation() != news.incarnation()
				|| news.sequence() <= known.status.sequence()) {
			return false;
		}
		return renew(known, known.status.with(news), nowNanos);
	}

	/**
	 * Returns whether a daemon has been heard of lately in its present incarnation.
	 * @param status what it says of itself
	 * @param nowNanos the monotonic time
	 * @return whether it has
	 */
	public boolean isLive(PeerStatus status, long nowNanos) {
		final Known known = this.peers.get(status.daemonId());
		return known != null && known.status.incarnation() == status.incarnation()
				&& nowNanos - known.heardAtNanos <= boundNanos();
	}

	private boolean renew(Known known, PeerStatus newer, long nowNanos) {
		this.changed |= newer.incarnation() != known.status.incarnation() || newer.differsFrom(known.status);
		final boolean wasLost = known.renew(newer, nowNanos, boundNanos());
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
		final long boundNanos = boundNanos();
		final List<Known> order = new ArrayList<>(this.peers.values());
		order.removeIf((known) -> nowNanos - known.heardAtNanos > boundNanos);
		order.sort(Known.ORDER);
		final List<PeerStatus> whole = new ArrayList<>();
		final List<PeerNews> news = new ArrayList<>();
		final long before = this.told;
		final List<Known> byWhole = new ArrayList<>(order);
		byWhole.sort(Comparator.comparingLong((known) -> known.wholeAt));
		for (final Known known : byWhole.subList(0, Math.min(MAX_WHOLE, byWhole.size()))) {
			this.told++;
			known.wholeAt = this.told;
			known.tell(this.told);
			whole.add(known.status);
		}
		for (final Known known : order) {
			if (news.size() < MAX_NEWS && known.wholeAt <= before) {
				this.told++;
				known.tell(this.told);
				news.add(known.status.news());
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
		final long boundNanos = boundNanos();
		// Kept longer than others tell of it: an echo must not raise the dead.
		this.peers.values().removeIf((known) -> nowNanos - known.heardAtNanos > FORGOTTEN_BOUNDS * boundNanos);
		final Map<String, PeerStatus> live = new TreeMap<>();
		for (final Known known : this.peers.values()) {
			if (nowNanos - known.heardAtNanos <= boundNanos) {
				live.put(known.status.daemonId(), known.status);
			}
		}
		return new ArrayList<>(live.values());
	}

	private long boundNanos() {
		return this.liveBoundNanos + this.liveBoundNanos * this.peers.size() / DOUBLING_DAEMONS;
	}

	private static final class Known {

		static final Comparator<Known> ORDER = Comparator.comparingInt((Known known) -> -known.newsLeft)
			.thenComparingLong((known) -> known.toldAt);

		private PeerStatus status;

		private long heardAtNanos;

		private int newsLeft = NEWS_REPEATS;

		private long toldAt;

		private long wholeAt;

		Known(PeerStatus status, long heardAtNanos) {
			this.status = status;
			this.heardAtNanos = heardAtNanos;
		}

		boolean renew(PeerStatus newer, long nowNanos, long boundNanos) {
			final boolean wasLost = nowNanos - this.heardAtNanos > boundNanos;
			if (newer.incarnation() != this.status.incarnation()) {
				this.wholeAt = 0;
				this.newsLeft = NEWS_REPEATS;
			}
			if (newer.differsFrom(this.status)) {
				this.newsLeft = NEWS_REPEATS;
			}
			this.status = newer;
			this.heardAtNanos = nowNanos;
			return wasLost;
		}

		void tell(long at) {
			this.toldAt = at;
			this.newsLeft = Math.max(0, this.newsLeft - 1);
		}

	}

}
