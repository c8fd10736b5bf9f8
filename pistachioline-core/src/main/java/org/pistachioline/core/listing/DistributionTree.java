package org.pistachioline.core.listing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The tree along which the platform's instance list is distributed among the daemons.
 * <p>
 * Every daemon computes the same tree without exchanging messages, by sorting the live
 * daemons by a hash of their names. The first one or two read from the platform; every
 * other daemon polls a parent that precedes it in the order, and no daemon has more than
 * {@value #MAX_CHILDREN} children. So the load on the platform does not depend on the
 * size of the fleet, and in a fleet of 300 a change is relayed at most three times.
 * Daemons may disagree for some seconds about which of them are live; then an additional
 * daemon reads, or one has more children than usual.
 */
final class DistributionTree {

	/**
	 * The most daemons that poll one parent. Serving eight takes a few percent of the
	 * processor of the smallest machine.
	 */
	static final int MAX_CHILDREN = 8;

	private final List<String> ids;

	private final int position;

	private final int readers;

	private DistributionTree(List<String> ids, int position, int readers) {
		this.ids = ids;
		this.position = position;
		this.readers = readers;
	}

	/**
	 * Builds the tree of the live daemons.
	 * @param selfId this daemon's name
	 * @param liveIds the names of the live daemons; this daemon's own name may be absent
	 * @param readers the number of daemons that read from the platform
	 * @return the tree, seen from this daemon
	 */
	static DistributionTree of(String selfId, Collection<String> liveIds, int readers) {
		final List<Node> nodes = new ArrayList<>();
		liveIds.stream().filter((id) -> !id.equals(selfId)).forEach((id) -> nodes.add(Node.of(id)));
		nodes.add(Node.of(selfId));
		nodes.sort(Node.ORDER);
		final List<String> ids = nodes.stream().map(Node::daemonId).toList();
		return new DistributionTree(ids, ids.indexOf(selfId), readers);
	}

	int size() {
		return this.ids.size();
	}

	/**
	 * Returns whether this daemon reads from the platform.
	 * @return whether it does
	 */
	boolean isReader() {
		return this.position < this.readers;
	}

	/**
	 * Returns the daemon that this one polls by default; only daemons that do not read
	 * from the platform have one.
	 * @return the daemon's name
	 */
	String parent() {
		return this.ids.get((this.position - this.readers) / MAX_CHILDREN);
	}

	/**
	 * Picks one of the other daemons.
	 * @param draw a uniformly distributed random number from 0 to 1
	 * @return the daemon's name; empty if there is no other daemon
	 */
	String randomPeer(double draw) {
		if (this.ids.size() < 2) {
			return "";
		}
		final int index = (int) (draw * (this.ids.size() - 1));
		return this.ids.get((index < this.position) ? index : index + 1);
	}

	/**
	 * A daemon and its sort key.
	 *
	 * @param daemonId the daemon's name
	 * @param hash the hash that the daemons are sorted by
	 */
	private record Node(String daemonId, int hash) {

		static final Comparator<Node> ORDER = Comparator.comparingInt(Node::hash).thenComparing(Node::daemonId);

		static Node of(String daemonId) {
			return new Node(daemonId, MurmurHash3.hash32x86(daemonId.getBytes(StandardCharsets.UTF_8)));
		}

	}

}
