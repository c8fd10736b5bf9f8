package org.pistachioline.core.planner;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Assigns a key to some of many candidates by rendezvous hashing: all callers with the
 * same candidates select the same ones, and a candidate that is added or removed moves
 * only its own share of the keys.
 */
public final class RendezvousHash {

	private RendezvousHash() {
	}

	/**
	 * Returns the candidate with the highest score for a key.
	 * @param key the key
	 * @param candidates the candidates
	 * @return the selected candidate; empty if there are none
	 */
	public static Optional<String> select(String key, Collection<String> candidates) {
		return candidates.stream()
			.map((candidate) -> Scored.of(key, candidate))
			.max(Scored.ORDER)
			.map(Scored::candidate);
	}

	/**
	 * Returns the candidates with the highest scores for a key.
	 * @param key the key
	 * @param candidates the candidates
	 * @param count the maximum number of candidates to return
	 * @return the selected candidates, in descending order of score
	 */
	public static List<String> select(String key, Collection<String> candidates, int count) {
		return candidates.stream()
			.map((candidate) -> Scored.of(key, candidate))
			.sorted(Scored.ORDER.reversed())
			.limit(count)
			.map(Scored::candidate)
			.toList();
	}

	// Holds the hash of each candidate so that a sort does not compute it for each
	// comparison.
	private record Scored(long score, String candidate) {

		static final Comparator<Scored> ORDER = Comparator.comparingLong(Scored::score)
			.thenComparing(Scored::candidate);

		static Scored of(String key, String candidate) {
			final byte[] bytes = (key + '\n' + candidate).getBytes(StandardCharsets.UTF_8);
			return new Scored(MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0], candidate);
		}

	}

}
