package org.pistachioline.core.placement;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Two pseudo-random numbers that depend only on a daemon and a target.
 *
 * @param exponential exponentially distributed with mean 1; divided by the target's
 * weight, the smallest ones select a weighted sample
 * @param uniform uniformly distributed from 0 to 1
 */
record TargetDraw(double exponential, double uniform) {

	/** Maps the upper 53 bits of a hash to a number from 0 to 1. */
	private static final double HASH_UNIT = 1.0 / (1L << 53);

	private static final int SHIFT = Long.SIZE - 53;

	static TargetDraw of(long key, String instanceId) {
		final byte[] name = instanceId.getBytes(StandardCharsets.UTF_8);
		final byte[] bytes = ByteBuffer.allocate(Long.BYTES + name.length).putLong(key).put(name).array();
		final long[] hash = MurmurHash3.hash128x64(bytes, 0, bytes.length, 0);
		return new TargetDraw(-Math.log(1 - toUnit(hash[0])), toUnit(hash[1]));
	}

	private static double toUnit(long hash) {
		return (hash >>> SHIFT) * HASH_UNIT;
	}

}
