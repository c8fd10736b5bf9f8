package org.pistachioline.core.stream;

import java.util.Collection;
import java.util.List;

import org.pistachioline.core.planner.RendezvousHash;

/**
 * Assigns daemons to streams by rendezvous hashing: which daemons follow a stream, and in
 * which order they write its checkpoints.
 * <p>
 * If each of 370 daemons followed every claims partition, the bytes that each one reads
 * would grow with the claims of the whole fleet. In a small fleet all daemons follow all
 * partitions, so that a claim needs no call to a peer and never waits for a failed
 * daemon. In a larger fleet only the first two in the rendezvous order do; the second one
 * has the partition's state available immediately when the first one fails. Checkpoints
 * are written in the same order, so the daemons that follow a stream also preserve it
 * beyond the log's retention.
 */
public final class StreamAssignment {

	/**
	 * The largest number of daemons at which all of them follow all streams. Typical
	 * fleets have 6 to 8 daemons.
	 */
	public static final int MAX_DAEMONS_ALL_FOLLOW = 8;

	private static final int FOLLOWERS_PER_STREAM = 2;

	private StreamAssignment() {
	}

	/**
	 * Returns all daemons in the order of their rank for a stream.
	 * @param stream the stream
	 * @param daemonIds the live daemons
	 * @return the daemons, the first-ranked one first
	 */
	public static List<String> rankedDaemons(String stream, Collection<String> daemonIds) {
		return RendezvousHash.select("checkpoint/" + stream, daemonIds, daemonIds.size());
	}

	/**
	 * Returns the daemons that follow a claims stream.
	 * @param stream the stream
	 * @param daemonIds the live daemons
	 * @return the daemons that follow it, the first-ranked one first
	 */
	public static List<String> followers(String stream, Collection<String> daemonIds) {
		final List<String> ranked = rankedDaemons(stream, daemonIds);
		return (ranked.size() <= MAX_DAEMONS_ALL_FOLLOW) ? ranked : ranked.subList(0, FOLLOWERS_PER_STREAM);
	}

}
