package org.pistachioline.core.limit;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

import org.pistachioline.core.placement.LiveDaemons;

/**
 * Divides a limit into permits and assigns them to daemons by rendezvous hashing, without
 * coordination.
 * <p>
 * A permit belongs to the live daemon with the highest hash of permit and daemon id, so a
 * daemon that joins or leaves moves only its own permits. An even division would be
 * unusable for small limits: one request per second among a hundred daemons would allow
 * each one request in a hundred seconds, which it could not use when it has a caller.
 */
public final class PermitAllocation {

	/**
	 * Permits beyond one per request per second, so that in a small fleet each daemon
	 * holds a permit for some target.
	 */
	private static final int EXTRA_PERMITS = 2;

	/** Bounds the cost of hashing for limits of thousands of requests per second. */
	private static final int MAX_PERMITS = 128;

	private static final double HASH_UNIT = 1.0 / (1L << Integer.SIZE);

	private PermitAllocation() {
	}

	/**
	 * Returns the number of permits of a limit: about one per request per second, so that
	 * using all of them at once sends hardly more than one second's requests.
	 * @param requestsPerSecond the limit
	 * @return the number of permits
	 */
	static int permitCount(double requestsPerSecond) {
		return (int) Math.min(MAX_PERMITS, EXTRA_PERMITS + Math.floor(requestsPerSecond));
	}

	/**
	 * Returns which permits this daemon holds.
	 * @param daemons the daemons that share the permits
	 * @param name the name of what the permits are for
	 * @param permits the number of permits
	 * @return whether this daemon holds each of them
	 */
	public static boolean[] held(LiveDaemons daemons, String name, int permits) {
		final boolean[] held = new boolean[permits];
		for (int permit = 0; permit < permits; permit++) {
			held[permit] = daemons.selfId().equals(holder(daemons, name + '#' + permit));
		}
		return held;
	}

	/**
	 * Counts the permits that this daemon holds.
	 * @param daemons the live daemons
	 * @param instanceId the instance that advertises the limit
	 * @param permits the number of permits of the limit
	 * @return how many of them this daemon holds
	 */
	static int countHeld(LiveDaemons daemons, String instanceId, int permits) {
		int count = 0;
		for (final boolean held : held(daemons, instanceId, permits)) {
			count += held ? 1 : 0;
		}
		return count;
	}

	private static String holder(LiveDaemons daemons, String permit) {
		String holder = daemons.selfId();
		int highest = hash(permit, holder);
		for (final String id : daemons.ids()) {
			final int hash = hash(permit, id);
			if (hash > highest || (hash == highest && id.compareTo(holder) > 0)) {
				highest = hash;
				holder = id;
			}
		}
		return holder;
	}

	/**
	 * Returns a pseudo-random number derived from the arguments, so that daemons draw
	 * different values.
	 * @param daemonId the daemon
	 * @param instanceId the instance
	 * @param draw the sequence number of the draw
	 * @return a number from 0 (inclusive) to 1 (exclusive)
	 */
	static double uniformDraw(String daemonId, String instanceId, long draw) {
		return Integer.toUnsignedLong(hash(instanceId + '#' + draw, daemonId)) * HASH_UNIT;
	}

	private static int hash(String first, String second) {
		return MurmurHash3.hash32x86((first + '|' + second).getBytes(StandardCharsets.UTF_8));
	}

}
