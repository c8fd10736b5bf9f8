package org.pistachioline.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * The callers of runs with the same load and different seeds.
 *
 * @param callers the callers of all runs
 * @param longestRefusalWaitNanos the longest time from an arrival to its refusal
 */
record FleetRuns(List<FleetCaller> callers, long longestRefusalWaitNanos) {

	private static final int TENTHS = 10;

	static FleetRuns of(int daemonCount, int seeds, BiFunction<FleetKind, Double, Double> load) {
		final List<FleetSimulation> runs = IntStream.range(0, seeds)
			.parallel()
			.mapToObj((seed) -> new FleetSimulation(daemonCount, seed, load))
			.toList();
		return new FleetRuns(runs.stream().flatMap((run) -> run.callers().stream()).toList(),
				runs.stream()
					.flatMap((run) -> run.refusalWaitsNanos().stream())
					.mapToLong(Long::longValue)
					.max()
					.orElse(0));
	}

	/**
	 * Returns how many of the callers who were refused once were served in the end.
	 * @return the ratio
	 */
	double returnsServedRatio() {
		final List<FleetCaller> returned = of((caller) -> caller.attempts > 1 && !caller.impatient);
		return (double) served(returned) / returned.size();
	}

	double credit() {
		return this.callers.stream().mapToDouble(FleetCaller::credit).sum();
	}

	long servedOnTime() {
		return this.callers.stream().filter((caller) -> caller.onTime).count();
	}

	/**
	 * Returns the part of its possible credit that a kind earns.
	 * @param kind the kind
	 * @return the ratio
	 */
	double creditRatio(FleetKind kind) {
		final List<FleetCaller> own = of((caller) -> caller.kind == kind);
		return own.stream().mapToDouble(FleetCaller::credit).sum() / own.size() / kind.credit();
	}

	/**
	 * Compares how often the callers of each workspace are served.
	 * @param kind the kind of request
	 * @return for each workspace the part served, divided by that of all others
	 */
	List<Double> servedByWorkspace(FleetKind kind) {
		final Map<String, List<FleetCaller>> byWorkspace = new HashMap<>();
		of((caller) -> caller.kind == kind).forEach(
				(caller) -> byWorkspace.computeIfAbsent(caller.workspace, (added) -> new ArrayList<>()).add(caller));
		return comparedWithRest(List.copyOf(byWorkspace.values()));
	}

	/**
	 * Compares how often callers are served by the size of their requests.
	 * @param kind the kind of request
	 * @return for each tenth the part served, divided by that of all others
	 */
	List<Double> servedBySize(FleetKind kind) {
		final List<FleetCaller> own = new ArrayList<>(of((caller) -> caller.kind == kind));
		own.sort(Comparator.comparingLong((caller) -> caller.slotNanos));
		return comparedWithRest(IntStream.range(0, TENTHS)
			.mapToObj((tenth) -> own.subList(tenth * own.size() / TENTHS, (tenth + 1) * own.size() / TENTHS))
			.toList());
	}

	private static List<Double> comparedWithRest(List<List<FleetCaller>> parts) {
		final long all = parts.stream().mapToLong(List::size).sum();
		final long served = parts.stream().mapToLong(FleetRuns::served).sum();
		return parts.stream().map((part) -> {
			final double rest = (double) (served - served(part)) / (all - part.size());
			return served(part) / (part.size() * rest);
		}).toList();
	}

	private static long served(List<FleetCaller> part) {
		return part.stream().filter((caller) -> caller.served).count();
	}

	private List<FleetCaller> of(Predicate<FleetCaller> condition) {
		return this.callers.stream().filter(condition).toList();
	}

}
