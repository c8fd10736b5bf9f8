package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.pistachioline.core.route.EngineModel;

/**
 * Selects serving groups whose members, together with free instances of their fabric
 * domain, form a group of another model that is worth more.
 * <p>
 * Service that exists is not given up for service that may come. All members of the new
 * group must hold its weights and be free now or in one of the closed groups, and what it
 * is worth must exceed by far what the closed ones are. The last group of a model is
 * never closed, and a domain has one exchange at a time.
 */
final class GroupExchange {

	/**
	 * Covers the seconds in which the members of neither group serve, and keeps groups
	 * from being exchanged back and forth.
	 */
	static final double MIN_GAIN_RATIO = 1.5;

	private final DomainHolders holders;

	private final FreeReservations reservations;

	GroupExchange(DomainHolders holders, FreeReservations reservations) {
		this.holders = holders;
		this.reservations = reservations;
	}

	/**
	 * Selects the groups to close for a group of another model.
	 * @param pass the pass
	 * @param targets what additions to the models are worth
	 * @return the exchange; empty if none is worth it
	 */
	Optional<Exchange> select(PlanningPass pass, ModelTargets targets) {
		final Map<String, Integer> groupsByModel = new HashMap<>();
		final Map<String, List<TrackedGroup>> byDonor = new TreeMap<>();
		pass.serving().forEach((tracked) -> {
			groupsByModel.merge(tracked.id.model(), 1, Integer::sum);
			byDonor
				.computeIfAbsent(tracked.id.model() + '\n' + pass.byId().get(tracked.headId()).fabricDomain(),
						(name) -> new ArrayList<>())
				.add(tracked);
		});
		final Map<String, List<ServingInstance>> freeByDomain = DomainHolders.byDomain(pass.free());
		final Map<String, List<ServingInstance>> recoveringByDomain = DomainHolders.byDomain(pass.recovering());
		return byDonor.values()
			.stream()
			.flatMap((donors) -> pass.view()
				.engine()
				.models()
				.stream()
				.map((recipient) -> exchange(pass, targets, donors, recipient, freeByDomain, recoveringByDomain)))
			.filter(Objects::nonNull)
			.filter((candidate) -> groupsByModel.get(candidate.closed().get(0).id.model()) > candidate.closed().size())
			.max(Comparator.comparingDouble(Exchange::gain));
	}

	private Exchange exchange(PlanningPass pass, ModelTargets targets, List<TrackedGroup> donors, EngineModel recipient,
			Map<String, List<ServingInstance>> freeByDomain, Map<String, List<ServingInstance>> recoveringByDomain) {
		final Optional<EngineModel> donor = pass.view().engine().model(donors.get(0).id.model());
		final String domain = pass.byId().get(donors.get(0).headId()).fabricDomain();
		if (donor.isEmpty() || donor.get() == recipient || recipient.members() <= 0) {
			return null;
		}
		final List<ServingInstance> freeInstances = freeByDomain.getOrDefault(domain, List.of());
		final List<ServingInstance> waiting = this.holders.holding(freeInstances, recipient);
		final int recovering = this.holders.holding(recoveringByDomain.getOrDefault(domain, List.of()), recipient)
			.size();
		final int missing = recipient.members() - waiting.size();
		if (missing <= recovering) {
			return null;
		}
		final List<TrackedGroup> closed = groupsThatHold(pass, donors, recipient, missing);
		final int givenUp = closed.size() * donor.get().members();
		final double gain = targets.gain(recipient, 0, recipient.members());
		final double loss = -targets.gain(donor.get(), 0, -givenUp)
				+ this.reservations.foregoneGain(pass.view().engine().models(), targets, freeInstances, recipient);
		return (!closed.isEmpty() && gain >= MIN_GAIN_RATIO * loss)
				? new Exchange(recipient, domain, closed, waiting, gain - loss) : null;
	}

	// Returns the fewest of the groups whose members together hold the model's weights
	// often enough; none if all of them do not.
	private List<TrackedGroup> groupsThatHold(PlanningPass pass, List<TrackedGroup> groups, EngineModel model,
			int missing) {
		final List<TrackedGroup> selected = new ArrayList<>();
		int holders = 0;
		for (final TrackedGroup tracked : groups.stream()
			.sorted(Comparator.comparingInt((TrackedGroup tracked) -> -countHolders(pass, tracked, model))
				.thenComparingLong((tracked) -> tracked.id.epoch()))
			.toList()) {
			if (holders < missing) {
				selected.add(tracked);
				holders += countHolders(pass, tracked, model);
			}
		}
		return (holders >= missing) ? selected : List.of();
	}

	private int countHolders(PlanningPass pass, TrackedGroup tracked, EngineModel model) {
		return this.holders.holding(tracked.memberIds.stream().map(pass.byId()::get).toList(), model).size();
	}

	/**
	 * An exchange of groups.
	 *
	 * @param recipient the model of the new group
	 * @param domain the fabric domain
	 * @param closed the groups that are closed
	 * @param waiting the free instances that wait for the members of the closed groups
	 * @param gain what the new group is worth beyond them, in instances
	 */
	record Exchange(EngineModel recipient, String domain, List<TrackedGroup> closed, List<ServingInstance> waiting,
			double gain) {

	}

}
