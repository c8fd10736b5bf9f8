package org.pistachioline.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.manifest.ServiceSpec;
import org.pistachioline.core.presence.GroupProof;
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

	/**
	 * Derives the targets.
	 * @param instances the instances as the platform lists them
	 * @param manifest the manifest in force
	 * @param fleet the agreed groups
	 * @param proofs what is known of each group that this daemon serves, by epoch
	 * @param boundNanos the age at which a proof no longer counts
	 * @param nowNanos the monotonic time
	 * @return a target for each group that this daemon serves and for each plain service
	 */
	static List<TargetView> derive(List<Instance> instances, Manifest manifest, FleetState fleet,
			Map<Long, GroupProof> proofs, long boundNanos, long nowNanos) {
		final List<TargetView> targets = new ArrayList<>();
		final Set<String> leaving = instances.stream()
			.filter(Instance::leaving)
			.map(Instance::id)
			.collect(Collectors.toSet());
		for (final GroupState group : fleet.groups().values()) {
			final GroupProof proof = proofs.get(group.epoch());
			if (proof != null) {
				// Told by the list itself, so that a leaving member gets no new work even
				// while
				// the log is out and no planner can drain its group.
				final boolean stays = group.members()
					.stream()
					.noneMatch((member) -> leaving.contains(member.instanceId()));
				targets.add(ofGroup(group, manifest, proof, stays && proof.mayServe(boundNanos, nowNanos)));
			}
		}
		for (final ServiceSpec service : manifest.services()) {
			for (final Instance instance : instances) {
				if (instance.pool().equals(service.pool())) {
					targets.add(new TargetView(instance.id(), TargetKind.SERVICE, service.name(), instance.address(), 0,
							instance.availabilityZone(), !instance.leaving(), SERVICE_SLOTS, 0, 0, nowNanos));
				}
			}
		}
		return targets;
	}

	private static TargetView ofGroup(GroupState group, Manifest manifest, GroupProof proof, boolean allPresent) {
		final Member first = group.members().get(0);
		final int slots = manifest.model(group.model()).map(ModelSpec::maxConcurrentRequests).orElse(1);
		return new TargetView(group.groupId() + "@" + group.epoch(), TargetKind.MODEL, group.model(), first.address(),
				group.epoch(), first.availabilityZone(), allPresent && !group.draining(), slots, proof.running(),
				proof.waiting(), proof.loadAtNanos());
	}

}
