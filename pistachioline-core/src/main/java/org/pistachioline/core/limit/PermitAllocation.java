package org.pistachioline.core.limit;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

import org.pistachioline.core.placement.LiveDaemons;

/**
 * Divides a limit into permits and draws which daemons hold them, without a message.
 * <p>
 * A permit is held by the live daemon whose name hashes highest with it, so a daemon that
 * comes or goes moves only the permits that it holds. Divided evenly, a request a second
 * among a hundred daemons would be one in a hundred seconds for each, which none could
 * use when it has a caller.
 */
final class PermitAllocation {

	/** Daemons of a small fleet hold some permit at one target or another. */
	private static final int EXTRA_PERMITS = 2;

	/** Bounds the hashing for targets that take thousands of requests a second. */
	private static final int MAX_PERMITS = 128;

	private static final double HASH_UNIT = 1.0 / (1L << Integer.SIZE);

	private PermitAllocation() {
	}

	/**
	 * Returns into how many permits a limit is divided: about one for each request a
	 * second, so that all of them used at once are hardly more than a second's requests.
	 * @param requestsPerSecond the limit
	 * @return the number of permits
	 */
	static int permitCount(double requestsPerSecond) {
		return (int) Math.min(MAX_PERMITS, EXTRA_PERMITS + Math.floor(requestsPerSecond));
	}

	/**
	 * Counts the permits that a daemon holds.
	 * @param daemons the live daemons
	 * @param instanceId the instance that names the limit
	 * @param permits how many permits there are
	 * @return how many of them this daemon holds
	 */
	static int countHeld(LiveDaemons daemons, String instanceId, int permits) {
		int held = 0;
		for (int permit = 0; permit < permits; permit++) {
			held += daemons.selfId().equals(holder(daemons, instanceId + '#' + permit)) ? 1 : 0;
		}
		return held;
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
	 * Draws a number that differs from daemon to daemon and from draw to draw.
	 * @param daemonId the daemon
	 * @param instanceId the instance that it is about
	 * @param draw the number of the draw
	 * @return a number from 0 to 1
	 */
	static double uniformDraw(String daemonId, String instanceId, long draw) {
		return Integer.toUnsignedLong(hash(instanceId + '#' + draw, daemonId)) * HASH_UNIT;
	}

	private static int hash(String first, String second) {
		return MurmurHash3.hash32x86((first + '|' + second).getBytes(StandardCharsets.UTF_8));
	}

}
