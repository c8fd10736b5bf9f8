package org.pistachioline.replay.fleet;

import java.util.List;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.DeadlineSpec;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.manifest.PoolKind;
import org.pistachioline.core.manifest.PoolSpec;
import org.pistachioline.core.manifest.WeightSpec;
import org.pistachioline.core.planner.CostBasedWait;

/**
 * Small fleets for tests.
 */
final class Fleets {

	static final int LOAD_SECONDS = 20;

	private Fleets() {
	}

	static Manifest manifest(boolean checksFencing, ModelSpec... models) {
		return new Manifest(List.of(new PoolSpec("engines", PoolKind.ENGINE, checksFencing, 240)), List.of(models),
				List.of(), List.of(), WeightSpec.DEFAULT, DeadlineSpec.DEFAULT);
	}

	static ModelSpec model(String name, int members, int least, int most) {
		return new ModelSpec(name, "engines", members, least, most, 10);
	}

	static FleetReplay of(Manifest manifest, int daemons, int domains, int instancesPerDomain) {
		final FleetReplay fleet = new FleetReplay(manifest, LOAD_SECONDS);
		for (int domain = 0; domain < domains; domain++) {
			for (int i = 0; i < instancesPerDomain; i++) {
				final String id = "i-" + domain + "-" + i;
				fleet.add(new Instance(id, "engines", id + ":1", "rack-" + domain, "zone-" + domain % 3, 8, false));
			}
		}
		for (int daemon = 0; daemon < daemons; daemon++) {
			fleet.addDaemon("daemon-" + daemon, new CostBasedWait());
		}
		return fleet;
	}

	static void event(FleetReplay fleet, String instanceId, InstanceEvent.Kind kind) {
		fleet.apply(new InstanceEvent(0, instanceId, kind));
	}

}
