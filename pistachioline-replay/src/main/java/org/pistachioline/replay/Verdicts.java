package org.pistachioline.replay;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

import org.pistachioline.replay.simulation.Figures;
import org.pistachioline.replay.simulation.PolicySet;
import org.pistachioline.replay.simulation.Simulation;
import org.pistachioline.replay.trace.OutcomeLine;
import org.pistachioline.replay.trace.Trace;

/**
 * Replays one trace with every set of policies and holds the figures against the stated
 * outcomes.
 */
public final class Verdicts {

	private static final String ALONE = "_ratio_to_alone";

	private static final String WITHOUT_FAULTS = "_ratio_to_no_faults";

	private final Trace trace;

	private final Map<PolicySet, Figures> figures = new EnumMap<>(PolicySet.class);

	private final Map<String, Figures> variants = new HashMap<>();

	/**
	 * Prepares the verdicts on a trace.
	 * @param trace the trace
	 */
	public Verdicts(Trace trace) {
		this.trace = trace;
	}

	/**
	 * Replays the trace with all policies, each on a thread of its own.
	 */
	public void replayAll() {
		Arrays.stream(PolicySet.values())
			.parallel()
			.map((set) -> Map.entry(set, new Simulation(this.trace, set).run()))
			.toList()
			.forEach((entry) -> this.figures.put(entry.getKey(), entry.getValue()));
	}

	/**
	 * Returns a figure.
	 * @param policies the policies
	 * @param outcome the outcome that names the measure
	 * @return the figure
	 */
	public double figure(PolicySet policies, OutcomeLine outcome) {
		final String measure = outcome.measure();
		if (measure.endsWith(ALONE)) {
			final Figures alone = variant(policies, "alone/" + outcome.workspace(),
					this.trace.alone(outcome.workspace()));
			return ratio(policies, outcome, measure.substring(0, measure.length() - ALONE.length()), alone);
		}
		if (measure.endsWith(WITHOUT_FAULTS)) {
			return ratio(policies, outcome, measure.substring(0, measure.length() - WITHOUT_FAULTS.length()),
					variant(policies, "no faults", this.trace.withoutFaults()));
		}
		return of(policies).figure(measure, outcome.workspace(), outcome.error());
	}

	private double ratio(PolicySet policies, OutcomeLine outcome, String measure, Figures base) {
		return of(policies).figure(measure, outcome.workspace(), outcome.error())
				/ base.figure(measure, outcome.workspace(), outcome.error());
	}

	private Figures of(PolicySet policies) {
		return this.figures.computeIfAbsent(policies, (set) -> new Simulation(this.trace, set).run());
	}

	private Figures variant(PolicySet policies, String name, Trace variant) {
		return this.variants.computeIfAbsent(policies + "/" + name, (key) -> new Simulation(variant, policies).run());
	}

	/**
	 * Returns whether all stated outcomes hold.
	 * @param policies the policies
	 * @return whether they do
	 */
	public boolean allMet(PolicySet policies) {
		return this.trace.outcomes().stream().allMatch((outcome) -> outcome.isMet(figure(policies, outcome)));
	}

	/**
	 * Returns the trace.
	 * @return the trace
	 */
	public Trace trace() {
		return this.trace;
	}

}
