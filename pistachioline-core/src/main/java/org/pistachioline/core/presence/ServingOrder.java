package org.pistachioline.core.presence;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.planner.RendezvousHash;

/**
 * Orders the live daemons for a group: the first one probes the group, the second is its
 * standby, and as many as the model needs serve it, each asking an earlier one for
 * proofs.
 * <p>
 * With 370 daemons and 1,600 groups, probes of every member by every daemon would come to
 * 100,000 probes per second each. All groups of a fabric domain therefore have the same
 * daemons in their order, so that a daemon asks few others about many groups; the first
 * four take turns in probing the groups, so that no daemon has to probe a whole domain.
 * The domain's planner is one of the four. Daemons of the domain's availability zone and
 * of other zones alternate: those in the zone respond to callers faster, and a partition
 * between zones leaves a prober on either side.
 */
public final class ServingOrder {

	/**
	 * How many groups of a model each daemon serves if the model has more. With this
	 * many, placement is as good as with all groups, and a daemon's callers find capacity
	 * when some groups are full; a model with 63 groups fits in whole.
	 */
	public static final int SERVED_GROUPS_PER_MODEL = 64;

	/**
	 * How many daemons ask the same daemon. This keeps the number of responses per daemon
	 * low, however many daemons serve a model with three groups; with 370 daemons a proof
	 * passes through three requests.
	 */
	public static final int FAN_OUT = 8;

	/**
	 * How many daemons probe a group whose proof grows old: two in its availability zone
	 * and two outside, so that a partition leaves some on either side, and not more, so
	 * that an unreachable fabric domain is not probed by all.
	 */
	public static final int MAX_PROBERS = 4;

	private ServingOrder() {
	}

	/**
	 * Returns all daemons in their order for a fabric domain.
	 * @param fabricDomain the fabric domain
	 * @param availabilityZone the domain's availability zone
	 * @param zonesByDaemon the availability zone of each live daemon
	 * @return the ids of the daemons
	 */
	public static List<String> forDomain(String fabricDomain, String availabilityZone,
			Map<String, String> zonesByDaemon) {
		final List<String> ranked = RendezvousHash.select(fabricDomain, zonesByDaemon.keySet(), zonesByDaemon.size());
		if (ranked.isEmpty()) {
			return ranked;
		}
		final List<String> sameZone = new ArrayList<>();
		final List<String> otherZones = new ArrayList<>();
		for (final String daemon : ranked.subList(1, ranked.size())) {
			(zonesByDaemon.get(daemon).equals(availabilityZone) ? sameZone : otherZones).add(daemon);
		}
		final boolean firstIsInZone = zonesByDaemon.get(ranked.get(0)).equals(availabilityZone);
		final List<String> order = new ArrayList<>(List.of(ranked.get(0)));
		for (int i = 0; i < Math.max(sameZone.size(), otherZones.size()); i++) {
			addIfPresent(order, firstIsInZone ? otherZones : sameZone, i);
			addIfPresent(order, firstIsInZone ? sameZone : otherZones, i);
		}
		return List.copyOf(order);
	}

	/**
	 * Returns the order for one group of a fabric domain.
	 * @param groupId the group's id
	 * @param domainOrder the daemons in their order for the domain
	 * @return the same daemons, with the possible probers in an order of the group's own
	 */
	public static List<String> forGroup(String groupId, List<String> domainOrder) {
		final int probers = Math.min(MAX_PROBERS, domainOrder.size());
		final List<String> order = new ArrayList<>(
				RendezvousHash.select(groupId, domainOrder.subList(0, probers), probers));
		order.addAll(domainOrder.subList(probers, domainOrder.size()));
		return List.copyOf(order);
	}

	private static void addIfPresent(List<String> order, List<String> daemons, int index) {
		if (index < daemons.size()) {
			order.add(daemons.get(index));
		}
	}

	/**
	 * Returns how many daemons serve each group of a model.
	 * @param daemons the number of live daemons
	 * @param groupsOfModel the number of groups of the model
	 * @return the number of daemons, counted from the start of the order
	 */
	public static int serverCount(int daemons, int groupsOfModel) {
		final int requiredServers = (SERVED_GROUPS_PER_MODEL * daemons + groupsOfModel - 1)
				/ Math.max(1, groupsOfModel);
		return Math.min(daemons, Math.max(MAX_PROBERS, requiredServers));
	}

	/**
	 * Returns the position of the daemon that a server asks for proofs.
	 * @param position the server's position in the order, above 0
	 * @return the position of the daemon to ask
	 */
	public static int parentPosition(int position) {
		return (position - 1) / FAN_OUT;
	}

}
