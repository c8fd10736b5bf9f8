package org.pistachioline.core.listing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Which daemons read the platform's list, and whom the others ask.
 * <p>
 * All daemons put the live ones into the same order, by a hash of their names, without a
 * message. The first two read; each other asks one that stands before it, such that
 * nobody is asked by more than a handful. So the platform is asked as often by hundreds
 * of daemons as by two, and a change passes through at most three of 300. Views of who
 * lives may differ for seconds: then one daemon more reads, or somebody is asked by more.
 */
final class DistributionTree {

	/** One may be dead for seconds before all know it; the other is there meanwhile. */
	static final int READER_COUNT = 2;

	/**
	 * How many daemons ask one: a few hundredths of the weakest machine's processor.
	 */
	static final int MAX_CHILDREN = 8;

	private final List<String> ids;

	private final int position;

	private DistributionTree(List<String> ids, int position) {
		this.ids = ids;
		this.position = position;
	}

	/**
	 * Puts daemons into order.
	 * @param selfId this daemon
	 * @param liveIds the live daemons, this one included or not
	 * @return the order
	 */
	static DistributionTree of(String selfId, Collection<String> liveIds) {
		final List<Node> places = new ArrayList<>();
		liveIds.stream().filter((id) -> !id.equals(selfId)).forEach((id) -> places.add(Node.of(id)));
		places.add(Node.of(selfId));
		places.sort(Node.ORDER);
		final List<String> ids = places.stream().map(Node::daemonId).toList();
		return new DistributionTree(ids, ids.indexOf(selfId));
	}

	int size() {
		return this.ids.size();
	}

	/**
	 * Returns whether this daemon reads the platform's list.
	 * @return whether it does
	 */
	boolean isReader() {
		return this.position < READER_COUNT;
	}

	/**
	 * Returns whom this daemon asks as a rule.
	 * @return the daemon's name
	 */
	String parent() {
		return this.ids.get((this.position - READER_COUNT) / MAX_CHILDREN);
	}

	/**
	 * Returns one of the other daemons.
	 * @param draw a number drawn by chance, from 0 to 1
	 * @return the daemon's name; empty where there is no other
	 */
	String randomPeer(double draw) {
		if (this.ids.size() < 2) {
			return "";
		}
		final int drawn = (int) (draw * (this.ids.size() - 1));
		return this.ids.get((drawn < this.position) ? drawn : drawn + 1);
	}

	/**
	 * A daemon's place.
	 *
	 * @param daemonId its name
	 * @param hash the hash that the order goes by
	 */
	private record Node(String daemonId, int hash) {

		static final Comparator<Node> ORDER = Comparator.comparingInt(Node::hash).thenComparing(Node::daemonId);

		static Node of(String daemonId) {
			return new Node(daemonId, MurmurHash3.hash32x86(daemonId.getBytes(StandardCharsets.UTF_8)));
		}

	}

}
