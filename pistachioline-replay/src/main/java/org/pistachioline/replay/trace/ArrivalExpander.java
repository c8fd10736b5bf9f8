package org.pistachioline.replay.trace;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.pistachioline.core.placement.PrefixHashes;

/**
 * Expands a line with a mean rate into single arrivals, always the same ones.
 */
final class ArrivalExpander {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final HeaderLine header;

	private final List<ModelLine> models;

	ArrivalExpander(HeaderLine header, List<ModelLine> models) {
		this.header = header;
		this.models = models;
	}

	List<ArrivalLine> expand(PoissonLine line, int lineNumber) {
		final UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(this.header.seed() * 31 + lineNumber);
		final double perSecond = (line.perSecond() > 0) ? line.perSecond() : line.loadRatio() * capacity(line);
		final double toSeconds = (line.toSeconds() > 0) ? line.toSeconds() : this.header.durationSeconds();
		final List<ArrivalLine> arrivals = new ArrayList<>();
		double atSeconds = line.fromSeconds();
		while (true) {
			atSeconds -= Math.log(1 - random.nextDouble()) / perSecond;
			if (atSeconds >= toSeconds) {
				return arrivals;
			}
			arrivals.add(arrival(line, atSeconds, random, lineNumber + "-" + arrivals.size()));
		}
	}

	private ArrivalLine arrival(PoissonLine line, double atSeconds, UniformRandomProvider random, String id) {
		final double spread = (2 * random.nextDouble() - 1) * line.outputSpreadRatio();
		final int output = (int) Math.max(1, Math.round(line.outputTokens() * (1 + spread)));
		return new ArrivalLine(atSeconds * MILLIS_PER_SECOND, line.workspace(), line.target(), line.promptTokens(),
				output, line.maxOutputTokens(), line.priority(), hashes(line, random), "", false,
				line.keyed() ? "key-" + id : "", line.repeatMillis(), line.repeats(), line.patient());
	}

	private static List<Long> hashes(PoissonLine line, UniformRandomProvider random) {
		final List<Long> hashes = new ArrayList<>();
		if (line.prefixes() == 0) {
			return hashes;
		}
		final long prefix = random.nextInt(line.prefixes());
		final int shared = line.prefixTokens() / PrefixHashes.BLOCK_TOKENS;
		final int blocks = Math.min(PrefixHashes.MAX_BLOCKS, line.promptTokens() / PrefixHashes.BLOCK_TOKENS);
		final UniformRandomProvider sharedHashes = RandomSource.SPLIT_MIX_64
			.create(line.workspace().hashCode() * 1_000_003L + prefix);
		for (int block = 0; block < blocks; block++) {
			hashes.add((block < shared) ? sharedHashes.nextLong() : random.nextLong());
		}
		return hashes;
	}

	private double capacity(PoissonLine line) {
		final ModelLine model = this.models.stream()
			.filter((candidate) -> candidate.name().equals(line.target()))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("load_ratio needs a model as target"));
		final double millis = model.serviceMillis(line.promptTokens(), line.outputTokens());
		return model.replicas() * model.slots() * MILLIS_PER_SECOND / millis;
	}

}
