package org.pistachioline.core.presence;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.planner.RendezvousHash;

/**
 * Orders the live daemons before a group: the first probes it, the second stands by, and
 * as many as its model needs serve it, each asking an earlier one.
 * <p>
 * Made for 370 daemons before 1,600 groups, where every daemon probing every member would
 * be 100,000 probes a second each. The groups of one fabric domain have the same daemons
 * before them, so that a daemon asks few others about many groups; but its first four
 * take turns in probing them, so that no daemon has a whole domain to probe. The domain's
 * planner is one of the four. Daemons of the domain's own availability zone and of others
 * alternate: the near ones answer callers quicker, and a cut between zones leaves a
 * prober on either side.
 */
public final class ServingOrder {

	/**
	 * How many groups of a model each daemon serves where there are more: enough that the
	 * choice among them is as good as among all and that a daemon's callers find capacity
	 * when others are full; today's 63 fit in whole.
	 */
	public static final int SERVED_GROUPS_PER_MODEL = 64;

	/**
	 * How many daemons ask one other: the answers of one daemon then stay few however
	 * many serve a model of three groups, and 370 daemons are three questions deep.
	 */
	public static final int FAN_OUT = 8;

	/**
	 * How many daemons probe a group whose proof grows old: two in its availability zone
	 * and two outside, so that a cut leaves some on either side, and no more, so that a
	 * dark fabric domain is not probed by all.
	 */
	public static final int MAX_PROBERS = 4;

	private ServingOrder() {
	}

	/**
	 * Returns all daemons in the order in which they come before a fabric domain.
	 * @param fabricDomain the fabric domain
	 * @param availabilityZone the domain's availability zone
	 * @param zonesByDaemon the availability zone of each live daemon
	 * @return the daemons' names
	 */
	public static List<String> forDomain(String fabricDomain, String availabilityZone,
			Map<String, String> zonesByDaemon) {
		final List<String> ranked = RendezvousHash.select(fabricDomain, zonesByDaemon.keySet(), zonesByDaemon.size());
		if (ranked.isEmpty()) {
			return ranked;
		}
		final List<String> near = new ArrayList<>();
		final List<String> far = new ArrayList<>();
		for (final String daemon : ranked.subList(1, ranked.size())) {
			(zonesByDaemon.get(daemon).equals(availabilityZone) ? near : far).add(daemon);
		}
		final boolean firstIsNear = zonesByDaemon.get(ranked.get(0)).equals(availabilityZone);
		final List<String> order = new ArrayList<>(List.of(ranked.get(0)));
		for (int i = 0; i < Math.max(near.size(), far.size()); i++) {
			addIfPresent(order, firstIsNear ? far : near, i);
			addIfPresent(order, firstIsNear ? near : far, i);
		}
		return List.copyOf(order);
	}

	/**
	 * Returns the order before one group of a fabric domain.
	 * @param groupId the group
	 * @param domainOrder the daemons in their order before the domain
	 * @return the same daemons, one of the first few put first
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
	 * Returns how many of the order serve each group of a model.
	 * @param daemons how many daemons live
	 * @param groupsOfModel how many groups the model has
	 * @return how many
	 */
	public static int serverCount(int daemons, int groupsOfModel) {
		final int needed = (SERVED_GROUPS_PER_MODEL * daemons + groupsOfModel - 1) / Math.max(1, groupsOfModel);
		return Math.min(daemons, Math.max(MAX_PROBERS, needed));
	}

	/**
	 * Returns whom a server asks.
	 * @param position its place in the order, above 0
	 * @return the place of the daemon to ask
	 */
	public static int parentPosition(int position) {
		return (position - 1) / FAN_OUT;
	}

}
