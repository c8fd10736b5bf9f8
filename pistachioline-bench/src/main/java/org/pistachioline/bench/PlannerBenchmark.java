package org.pistachioline.bench;

import org.pistachioline.core.manifest.WeightSpec;
import org.pistachioline.core.planner.AlwaysDissolve;
import org.pistachioline.core.planner.AlwaysWait;
import org.pistachioline.core.planner.CostBasedWait;
import org.pistachioline.core.planner.MemberLossPolicy;
import org.pistachioline.replay.fleet.FleetFigures;
import org.pistachioline.replay.fleet.LossComparison;

/**
 * Measures group downtime and stranded accelerators on replayed losses, for each
 * customer's weights against the two baselines.
 */
final class PlannerBenchmark implements Benchmark {

	private static final long TRACE_MILLIS = 4 * 3_600_000L;

	private static final long[] SEEDS = { 1, 2, 3 };

	@Override
	public String name() {
		return "planner";
	}

	@Override
	public void run(Figures figures) {
		for (final Customer customer : Customer.values()) {
			print(figures, customer, "weighed", new CostBasedWait());
			print(figures, customer, "always wait", new AlwaysWait());
			print(figures, customer, "always dissolve", new AlwaysDissolve());
		}
	}

	private static void print(Figures figures, Customer customer, String name, MemberLossPolicy policy) {
		FleetFigures sum = new FleetFigures(0, 0, 0);
		for (final long seed : SEEDS) {
			final FleetFigures next = LossComparison.replay(policy, customer.weights, TRACE_MILLIS, seed);
			sum = new FleetFigures(sum.downtimeGroupSeconds() + next.downtimeGroupSeconds(),
					sum.strandedAcceleratorSeconds() + next.strandedAcceleratorSeconds(),
					sum.formations() + next.formations());
		}
		final String prefix = name + " with the weights of " + customer + ": ";
		figures.print(prefix + "group downtime", sum.downtimeGroupSeconds(), "group s");
		figures.print(prefix + "stranded accelerators", sum.strandedAcceleratorSeconds(), "accelerator s");
		figures.print(prefix + "formations", sum.formations(), "1");
		for (final Customer payer : Customer.values()) {
			figures.print(prefix + "cost to " + payer, sum.cost(payer.weights), "1");
		}
	}

	private enum Customer {

		PEACHTREE(LossComparison.PEACHTREE), INSPECTORATE(LossComparison.INSPECTORATE);

		private final WeightSpec weights;

		Customer(WeightSpec weights) {
			this.weights = weights;
		}

	}

}
