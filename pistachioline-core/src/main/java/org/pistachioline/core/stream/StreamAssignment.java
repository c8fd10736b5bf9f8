package org.pistachioline.core.stream;

import java.util.Collection;
import java.util.List;

import org.pistachioline.core.planner.Rendezvous;

/**
 * Which daemons look after a stream.
 * <p>
 * Made for claims at 370 daemons: if each daemon followed each partition, the bytes that
 * one reads would grow with everybody's bookings. In a small fleet all follow all, so
 * that a booking costs no way over a peer and no dead daemon is waited for; in a larger
 * one the first two of the rendezvous order do, the second one so that a partition's
 * state is there at once when the first one dies. The same order says who writes
 * checkpoints, so that those who follow a stream also carry it over its retention.
 */
public final class StreamAssignment {

	/**
	 * The largest fleet in which all follow all: today's customers have 6 to 8 daemons.
	 */
	public static final int MAX_DAEMONS_ALL_FOLLOW = 8;

	private static final int FOLLOWERS_PER_STREAM = 2;

	private StreamAssignment() {
	}

	/**
	 * Returns all daemons in the order in which they look after a stream.
	 * @param stream the stream
	 * @param daemonIds the live daemons
	 * @return the daemons, the first choice first
	 */
	public static List<String> rankedDaemons(String stream, Collection<String> daemonIds) {
		return Rendezvous.first("checkpoint/" + stream, daemonIds, daemonIds.size());
	}

	/**
	 * Returns who follows a stream with claims.
	 * @param stream the stream
	 * @param daemonIds the live daemons
	 * @return the daemons that follow it, the first choice first
	 */
	public static List<String> followers(String stream, Collection<String> daemonIds) {
		final List<String> order = rankedDaemons(stream, daemonIds);
		return (order.size() <= MAX_DAEMONS_ALL_FOLLOW) ? order : order.subList(0, FOLLOWERS_PER_STREAM);
	}

}
