package org.pistachioline.core.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.GroupState;

/**
 * Makes room for a model that lacks its least number of groups, by draining groups that
 * other models have beyond theirs.
 * <p>
 * Made for a fabric domain whose instances were lent to a busy model while a member of
 * another was missing. It drains as few groups as will do, in one domain, and keeps what
 * comes free there for the model that lacks it.
 */
final class Reclaim {

	private final PlannerInput input;

	private final PlanDraft draft;

	private final FreeInstances free;

	private final Set<String> reserved = new HashSet<>();

	Reclaim(PlannerInput input, PlanDraft draft, FreeInstances free) {
		this.input = input;
		this.draft = draft;
		this.free = free;
	}

	boolean isReserved(String domain) {
		return this.reserved.contains(domain);
	}

	void makeRoom(ModelSpec model) {
		final Set<String> domains = new TreeSet<>();
		this.input.instances()
			.stream()
			.filter((instance) -> instance.pool().equals(model.pool()))
			.forEach((instance) -> domains.add(instance.fabricDomain()));
		domains.removeAll(this.draft.darkDomains());
		domains.removeAll(this.reserved);
		final Map<String, List<GroupState>> drainsByDomain = new HashMap<>();
		domains.forEach((domain) -> drains(model, domain).ifPresent((drains) -> drainsByDomain.put(domain, drains)));
		drainsByDomain.keySet()
			.stream()
			.min(Comparator.comparingInt((String domain) -> drainsByDomain.get(domain).size())
				.thenComparing(Comparator.naturalOrder()))
			.ifPresent((domain) -> {
				this.reserved.add(domain);
				this.input.mine(domain)
					.ifPresent((planner) -> drainsByDomain.get(domain)
						.forEach((group) -> this.draft.drain(group, planner,
								"model " + model.name() + " lacks its least number of replicas")));
			});
	}

	// The groups to drain so that the model fits; none where draining ones suffice; empty
	// where it cannot fit.
	private Optional<List<GroupState>> drains(ModelSpec model, String domain) {
		int room = this.free.count(model.pool(), domain);
		final List<GroupState> extra = new ArrayList<>();
		for (final GroupState group : this.input.fleet().groups().values()) {
			if (!group.fabricDomain().equals(domain)) {
				continue;
			}
			if (group.draining()) {
				room += usable(group);
			}
			else if (isExtra(model, group)) {
				extra.add(group);
			}
		}
		extra.sort(Comparator.comparingLong((GroupState group) -> -group.epoch()));
		final List<GroupState> drains = new ArrayList<>();
		for (final GroupState group : extra) {
			if (room < model.members()) {
				drains.add(group);
				room += usable(group);
			}
		}
		return (room >= model.members()) ? Optional.of(drains) : Optional.empty();
	}

	private boolean isExtra(ModelSpec needy, GroupState group) {
		return this.input.manifest()
			.model(group.model())
			.filter((model) -> model.pool().equals(needy.pool()) && !model.name().equals(needy.name())
					&& this.draft.countedOf(model.name()) > model.minReplicas())
			.isPresent() && !this.draft.isLost(group);
	}

	private int usable(GroupState group) {
		return (int) group.members()
			.stream()
			.map(Member::instanceId)
			.filter((id) -> !this.input.silent().contains(id))
			.count();
	}

}
