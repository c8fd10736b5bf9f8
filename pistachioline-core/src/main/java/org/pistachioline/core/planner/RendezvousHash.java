package org.pistachioline.core.planner;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Assigns a thing to a few of many by rendezvous hashing, so that all who know the same
 * many agree, and one that comes or goes moves only its own share.
 */
public final class RendezvousHash {

	private RendezvousHash() {
	}

	/**
	 * Returns the first choice for a thing.
	 * @param thing the thing
	 * @param candidates who may have it
	 * @return the first choice; empty where there is no candidate
	 */
	public static Optional<String> select(String thing, Collection<String> candidates) {
		return candidates.stream()
			.map((candidate) -> Scored.of(thing, candidate))
			.max(Scored.ORDER)
			.map(Scored::candidate);
	}

	/**
	 * Returns the first few choices for a thing.
	 * @param thing the thing
	 * @param candidates who may have it
	 * @param count how many
	 * @return the choices, the first one first
	 */
	public static List<String> select(String thing, Collection<String> candidates, int count) {
		return candidates.stream()
			.map((candidate) -> Scored.of(thing, candidate))
			.sorted(Scored.ORDER.reversed())
			.limit(count)
			.map(Scored::candidate)
			.toList();
	}

	// The hash is computed once for each candidate: a sort would ask for it many times.
	private record Scored(long score, String candidate) {

		static final Comparator<Scored> ORDER = Comparator.comparingLong(Scored::score)
			.thenComparing(Scored::candidate);

		static Scored of(String thing, String candidate) {
			final byte[] bytes = (thing + '\n' + candidate).getBytes(StandardCharsets.UTF_8);
			return new Scored(MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0], candidate);
		}

	}

}
