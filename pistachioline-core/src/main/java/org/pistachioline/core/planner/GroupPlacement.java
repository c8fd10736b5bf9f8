package org.pistachioline.core.planner;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.manifest.PoolSpec;
import org.pistachioline.core.record.GroupFormation;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.GroupState;

/**
 * Lays out new groups on the free instances.
 * <p>
 * Made for the morning after, when many groups are missing at once. A group goes where
 * the model has the fewest in the availability zone, so that a lost zone takes the least,
 * and there into the fabric domain where it leaves the fewest instances over, so that
 * whole domains stay free for large groups. The weight store's rate bounds how many loads
 * begin in a minute: more at once would make every one of them slower.
 */
final class GroupPlacement {

	/** More records in one plan than this wait for the next. */
	private static final int MAX_FORMATIONS_PER_PLAN = 16;

	/**
	 * A domain that is chosen for this long without a group being formed is passed over.
	 */
	private static final long FORMATION_TIMEOUT_NANOS = 30_000_000_000L;

	private final PlannerInput input;

	private final PlannerMemory memory;

	private final PlanDraft draft;

	private final FreeInstances free;

	private final InstanceReclaimer reclaimer;

	private int formationCount;

	private final Map<String, Integer> groupsByModelAndZone = new HashMap<>();

	private final Map<String, Integer> plannedLoadsByPool = new HashMap<>();

	GroupPlacement(PlannerInput input, PlannerMemory memory, PlanDraft draft) {
		this.input = input;
		this.memory = memory;
		this.draft = draft;
		this.free = new FreeInstances(input);
		this.reclaimer = new InstanceReclaimer(input, memory, draft, this.free);
		for (final GroupState group : input.fleet().groups().values()) {
			if (!group.draining()) {
				addToZone(group.model(), group.members().get(0).availabilityZone());
			}
		}
	}

	private void addToZone(String model, String zone) {
		this.groupsByModelAndZone.merge(model + '\n' + zone, 1, Integer::sum);
	}

	// First every model gets its least number, and room is made where one cannot; only
	// then
	// do busy models get more. Within each the models take turns, the larger groups
	// first, as
	// they fit into fewer places.
	void placeGroups() {
		final List<ModelSpec> models = this.input.manifest()
			.models()
			.stream()
			.sorted(Comparator.comparingInt((ModelSpec model) -> -model.members()).thenComparing(ModelSpec::name))
			.toList();
		placeGroups(models, (model) -> this.draft.countedReplicas(model.name()) < model.minReplicas());
		for (final ModelSpec model : models) {
			if (this.draft.countedReplicas(model.name()) < model.minReplicas() && !isRateLimited(model)) {
				this.reclaimer.reclaimFor(model);
			}
		}
		placeGroups(models, (model) -> this.draft.missingReplicas(model.name()) > 0);
	}

	private void placeGroups(List<ModelSpec> models, Predicate<ModelSpec> wants) {
		boolean progress = true;
		while (progress) {
			progress = false;
			for (final ModelSpec model : models) {
				if (this.formationCount < MAX_FORMATIONS_PER_PLAN && wants.test(model) && place(model)) {
					this.formationCount++;
					progress = true;
				}
			}
		}
	}

	// A group larger than a minute's loads must still be formed, alone.
	private boolean isRateLimited(ModelSpec model) {
		final int paced = this.plannedLoadsByPool.getOrDefault(model.pool(), 0)
				+ this.memory.loadsStartedWithinMinute(model.pool(), this.input.nowNanos());
		final double perMinute = this.input.manifest()
			.pool(model.pool())
			.map(PoolSpec::weightStoreLoadsPerMinute)
			.orElse(0.0);
		return paced > 0 && paced + model.members() > perMinute;
	}

	private boolean place(ModelSpec model) {
		if (isRateLimited(model)) {
			this.draft.setBlockReason(model.pool(), "the weight store's rate is used up");
			return false;
		}
		final Optional<String> domain = selectDomain(model);
		if (domain.isEmpty()) {
			return false;
		}
		final String zone = this.free.availabilityZone(model.pool(), domain.get());
		final List<Instance> instances = this.free.take(model.pool(), domain.get(), model.members());
		this.plannedLoadsByPool.merge(model.pool(), model.members(), Integer::sum);
		this.draft.addReplica(model.name());
		addToZone(model.name(), zone);
		proposeFormation(model, domain.get(), instances);
		return true;
	}

	private Optional<String> selectDomain(ModelSpec model) {
		final Set<String> candidates = new HashSet<>(this.free.domains(model.pool()));
		candidates.removeIf((domain) -> this.free.count(model.pool(), domain) < model.members()
				|| this.draft.unreachableDomains().contains(domain) || this.reclaimer.isReserved(domain));
		final Comparator<String> order = Comparator
			.comparingInt((String domain) -> this.groupsByModelAndZone
				.getOrDefault(model.name() + '\n' + this.free.availabilityZone(model.pool(), domain), 0))
			.thenComparingInt((domain) -> this.free.count(model.pool(), domain) - model.members())
			.thenComparing(Comparator.naturalOrder());
		Optional<String> best = candidates.stream().min(order);
		while (best.isPresent() && isFormationOverdue(model, best.get())) {
			candidates.remove(best.get());
			best = candidates.stream().min(order);
		}
		return best;
	}

	// Its planner is gone, or knows that instances there do not answer. Only a domain
	// that
	// is the choice is noted, and for as long as the same number of instances stays free.
	private boolean isFormationOverdue(ModelSpec model, String domain) {
		if (this.input.ownEpoch(domain).isPresent()) {
			return false;
		}
		final String what = "chosen " + model.name() + ' ' + domain + ' ' + this.free.count(model.pool(), domain);
		return this.input.nowNanos() - this.memory.sinceNanos(what, this.input.nowNanos()) >= FORMATION_TIMEOUT_NANOS;
	}

	private void proposeFormation(ModelSpec model, String domain, List<Instance> instances) {
		instances.forEach((instance) -> this.draft.markAssigned(instance.id()));
		this.input.ownEpoch(domain).ifPresent((planner) -> {
			final List<Member> members = instances.stream()
				.map((instance) -> new Member(instance.id(), instance.fabricDomain(), instance.address(),
						instance.availabilityZone(), instance.accelerators()))
				.toList();
			this.draft.form(new GroupFormation(groupId(model, members), model.name(), planner.epoch(), members,
					this.input.configVersion()));
		});
	}

	private String groupId(ModelSpec model, List<Member> members) {
		return model.name() + "-" + members.get(0).instanceId() + "-"
				+ Long.toString(this.input.nowNanos(), Character.MAX_RADIX);
	}

}
