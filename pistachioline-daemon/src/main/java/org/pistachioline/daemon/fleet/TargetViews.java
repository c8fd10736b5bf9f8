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
 * Derives the targets of requests from the agreed groups, their presence and the instance
 * list.
 */
final class TargetViews {

	private static final int SERVICE_SLOTS = 64;

	private TargetViews() {
	}

	/**
	 * Derives all targets, including those that cannot serve.
	 * @param instances the instances in the platform's instance list
	 * @param manifest the manifest in force
	 * @param fleet the agreed groups
	 * @param proofs the presence of each group that this daemon serves, by group epoch
	 * @param presenceBoundNanos the age at which a proof of presence expires
	 * @param nowNanos the monotonic time
	 * @return a target for each group that this daemon serves and for each plain service
	 */
	static List<TargetView> derive(List<Instance> instances, Manifest manifest, FleetState fleet,
			Map<Long, GroupProof> proofs, long presenceBoundNanos, long nowNanos) {
		final List<TargetView> targets = new ArrayList<>();
		final Set<String> leaving = instances.stream()
			.filter(Instance::leaving)
			.map(Instance::id)
			.collect(Collectors.toSet());
		for (final GroupState group : fleet.groups().values()) {
			final GroupProof proof = proofs.get(group.epoch());
			if (proof != null) {
				// Taken from the instance list itself, so that a leaving member gets no
				// new requests even while the log is down and no planner can drain its
				// group.
				final boolean noMemberLeaving = group.members()
					.stream()
					.noneMatch((member) -> leaving.contains(member.instanceId()));
				targets.add(ofGroup(group, manifest, proof,
						noMemberLeaving && proof.mayServe(presenceBoundNanos, nowNanos)));
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

	private static TargetView ofGroup(GroupState group, Manifest manifest, GroupProof proof, boolean available) {
		final Member firstMember = group.members().get(0);
		final int slots = manifest.model(group.model()).map(ModelSpec::maxConcurrentRequests).orElse(1);
		return new TargetView(group.groupId() + "@" + group.epoch(), TargetKind.MODEL, group.model(),
				firstMember.address(), group.epoch(), firstMember.availabilityZone(), available && !group.draining(),
				slots, proof.running(), proof.waiting(), proof.loadAtNanos());
	}

}
