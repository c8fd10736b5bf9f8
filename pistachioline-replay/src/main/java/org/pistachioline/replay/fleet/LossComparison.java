package org.pistachioline.replay.fleet;

import java.util.ArrayList;
import java.util.List;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.DeadlineSpec;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.manifest.PoolKind;
import org.pistachioline.core.manifest.PoolSpec;
import org.pistachioline.core.manifest.WeightSpec;
import org.pistachioline.core.planner.MemberLossPolicy;

/**
 * Replays one trace of lost instances with different policies and weights.
 * <p>
 * Three fabric domains hold three groups of a model with four instances, and a busy model
 * with two that could use more than there is. So each lost member poses the question
 * whether the other three wait for it or are lent to the busy model.
 */
public final class LossComparison {

	/** Peachtree's customer at the counter cannot wait. */
	public static final WeightSpec PEACHTREE = new WeightSpec(20, 0.25);

	/** The Inspectorate's budget must stretch. */
	public static final WeightSpec INSPECTORATE = new WeightSpec(1, 1);

	private static final int DOMAINS = 3;

	private static final int INSTANCES = 8;

	private static final int ACCELERATORS = 8;

	private static final int BUSY_REQUESTS = 90;

	private static final int SLOTS = 10;

	private static final int LOADS_PER_MINUTE = 240;

	private static final int LOAD_SECONDS = 60;

	private static final long MEAN_GAP_MILLIS = 360_000;

	private static final long START_MILLIS = 300_000;

	private LossComparison() {
	}

	/**
	 * Replays.
	 * @param policy what is done about lost members
	 * @param weights the operators' weights
	 * @param millis how long the trace is
	 * @param seed the trace's seed
	 * @return the figures, from when the fleet first stood
	 */
	public static FleetFigures replay(MemberLossPolicy policy, WeightSpec weights, long millis, long seed) {
		final Manifest manifest = new Manifest(
				List.of(new PoolSpec("engines", PoolKind.ENGINE, true, LOADS_PER_MINUTE)),
				List.of(new ModelSpec("desk", "engines", 4, DOMAINS, DOMAINS, SLOTS),
						new ModelSpec("copy", "engines", 2, DOMAINS, 3 * DOMAINS, SLOTS)),
				List.of(), List.of(), weights, DeadlineSpec.DEFAULT);
		final FleetReplay fleet = new FleetReplay(manifest, LOAD_SECONDS);
		final List<String> ids = new ArrayList<>();
		for (int i = 0; i < DOMAINS * INSTANCES; i++) {
			final String domain = "rack-" + i / INSTANCES;
			final String id = domain + "-" + i % INSTANCES;
			ids.add(id);
			fleet.add(new Instance(id, "engines", id + ":1", domain, "zone-" + i / INSTANCES, ACCELERATORS, false));
		}
		fleet.addDaemon("daemon-0", policy);
		fleet.demand("copy", BUSY_REQUESTS);
		fleet.run(START_MILLIS);
		final FleetFigures before = fleet.figures();
		long nowMillis = 0;
		for (final InstanceEvent event : AvailabilityTrace.of(ids, millis, MEAN_GAP_MILLIS, seed)) {
			fleet.run(event.atMillis() - nowMillis);
			nowMillis = event.atMillis();
			fleet.apply(event);
		}
		fleet.run(millis - nowMillis);
		final FleetFigures after = fleet.figures();
		return new FleetFigures(after.downtimeGroupSeconds() - before.downtimeGroupSeconds(),
				after.strandedAcceleratorSeconds() - before.strandedAcceleratorSeconds(),
				after.formations() - before.formations());
	}

}
