package org.pistachioline.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.manifest.ServiceSpec;
import org.pistachioline.core.presence.PresenceProof;
import org.pistachioline.core.presence.PresenceTable;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.GroupState;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;

/**
 * Derives the targets of requests from agreed groups, presence and the instance list.
 */
final class TargetViews {

	private static final int SERVICE_SLOTS = 64;

	private TargetViews() {
	}

	static FleetView derive(List<Instance> instances, Manifest manifest, FleetState fleet, PresenceTable presence,
			long nowNanos) {
		final Map<String, List<Integer>> missingRanks = new HashMap<>();
		final List<TargetView> targets = new ArrayList<>();
		for (final GroupState group : fleet.groups().values()) {
			final List<Integer> missing = presence.missingRanks(group, nowNanos);
			if (!missing.isEmpty()) {
				missingRanks.put(group.groupId(), missing);
			}
			targets.add(ofGroup(group, manifest, presence, missing.isEmpty()));
		}
		for (final ServiceSpec service : manifest.services()) {
			for (final Instance instance : instances) {
				if (instance.pool().equals(service.pool())) {
					targets.add(new TargetView(instance.id(), TargetKind.SERVICE, service.name(), instance.address(), 0,
							instance.availabilityZone(), !instance.leaving(), SERVICE_SLOTS, 0, 0, nowNanos));
				}
			}
		}
		return new FleetView(instances, missingRanks, targets, true);
	}

	private static TargetView ofGroup(GroupState group, Manifest manifest, PresenceTable presence, boolean allPresent) {
		final Member first = group.members().get(0);
		final PresenceProof proof = presence.proof(first.instanceId());
		final int slots = manifest.model(group.model()).map(ModelSpec::maxConcurrentRequests).orElse(1);
		return new TargetView(group.groupId() + "@" + group.epoch(), TargetKind.MODEL, group.model(), first.address(),
				group.epoch(), first.availabilityZone(), allPresent && !group.draining(), slots,
				(proof != null) ? proof.held().running() : 0, (proof != null) ? proof.held().waiting() : 0,
				(proof != null) ? proof.askedAtNanos() : 0);
	}

}
