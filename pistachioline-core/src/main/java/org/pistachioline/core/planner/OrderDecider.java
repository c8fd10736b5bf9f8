package org.pistachioline.core.planner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.fleet.EngineCommand;
import org.pistachioline.core.fleet.EngineOrder;
import org.pistachioline.core.fleet.EnginePhase;
import org.pistachioline.core.fleet.EngineState;
import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.PoolSpec;
import org.pistachioline.core.presence.PresenceProof;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.GroupState;
import org.pistachioline.core.state.PlannerEpoch;

/**
 * Decides which orders the engines of this planner's fabric domains need, by comparing
 * the groups in the log with the state that each engine reports.
 * <p>
 * A planner may pause, be replaced, and resume. Engines that check fencing tokens refuse
 * its late orders. For engines that ignore them, three rules limit the damage: no order
 * is sent on a view of the log that is older than a bound, counted from before the read;
 * a new planner sends no order before the last one of its predecessor has expired; and
 * the state of every engine is read back, and the order is sent again until the engine is
 * in the state that the log asks for. A planner that pauses between the last check and
 * the write to the socket can still send one stale order. The read-back then shows
 * another epoch, the group is no longer proven to be present, and the right order is sent
 * again.
 */
public final class OrderDecider {

	private final String writer;

	private final OrderLimits limits;

	private final Map<String, AcceptedClaim> acceptedClaims = new HashMap<>();

	private final Map<String, Long> lastSentAtNanos = new HashMap<>();

	/**
	 * Creates a decider.
	 * @param writer this planner's writer name on the log
	 * @param limits the time limits of orders
	 */
	public OrderDecider(String writer, OrderLimits limits) {
		this.writer = writer;
		this.limits = limits;
	}

	/**
	 * Returns the orders to send now; none while the view of the log is too old.
	 * @param input the current knowledge about groups and engines
	 * @return the orders to send now
	 */
	public List<EngineCommand> decide(OrderInput input) {
		trackClaims(input);
		if (!isViewFresh(input.viewReadAtNanos(), input.nowNanos())) {
			return List.of();
		}
		final List<EngineCommand> commands = new ArrayList<>();
		for (final GroupState group : input.fleet().groups().values()) {
			if (!input.provenEpochs().contains(group.epoch())
					&& maySendOrders(input, group.fabricDomain(), poolOf(input, group))) {
				for (int rank = 0; rank < group.members().size(); rank++) {
					orderLoad(input, group, rank, commands);
				}
			}
		}
		for (final Instance instance : input.instances()) {
			final boolean free = !input.fleet().groupIdsByInstance().containsKey(instance.id());
			if (free && maySendOrders(input, instance.fabricDomain(), instance.pool())) {
				orderUnload(input, instance, commands);
			}
		}
		return commands;
	}

	/**
	 * Returns whether a view of the log is recent enough to act on. Senders check again
	 * just before an order is written to the socket.
	 * @param viewReadAtNanos the monotonic time just before the read
	 * @param nowNanos the monotonic time
	 * @return whether the view is recent enough
	 */
	public boolean isViewFresh(long viewReadAtNanos, long nowNanos) {
		return nowNanos - viewReadAtNanos <= this.limits.maxViewAgeNanos();
	}

	/**
	 * Returns the fabric domains in which engines that ignore fencing tokens get no
	 * orders yet, because the previous planner's orders may still arrive.
	 * @param nowNanos the monotonic time
	 * @return the fabric domains
	 */
	public Set<String> domainsInHandOver(long nowNanos) {
		final Set<String> domains = new HashSet<>();
		this.acceptedClaims.forEach((domain, claim) -> {
			if (nowNanos - claim.firstSeenAtNanos() < this.limits.handOverNanos()) {
				domains.add(domain);
			}
		});
		return domains;
	}

	// The wait starts when this planner sees its claim in the log, which is after it
	// was accepted.
	private void trackClaims(OrderInput input) {
		this.acceptedClaims.keySet().removeIf((domain) -> !isPlannedHere(input.fleet(), domain));
		input.fleet().planners().forEach((domain, planner) -> {
			final AcceptedClaim claim = this.acceptedClaims.get(domain);
			if (isPlannedHere(input.fleet(), domain) && (claim == null || claim.epoch() != planner.epoch())) {
				this.acceptedClaims.put(domain, new AcceptedClaim(planner.epoch(), input.nowNanos()));
			}
		});
		final Set<String> knownIds = new HashSet<>(input.fleet().groupIdsByInstance().keySet());
		input.instances().forEach((instance) -> knownIds.add(instance.id()));
		this.lastSentAtNanos.keySet().retainAll(knownIds);
	}

	private boolean isPlannedHere(FleetState fleet, String domain) {
		final PlannerEpoch planner = fleet.planners().get(domain);
		return planner != null && planner.writer().equals(this.writer);
	}

	private boolean maySendOrders(OrderInput input, String domain, String pool) {
		final AcceptedClaim claim = this.acceptedClaims.get(domain);
		if (claim == null) {
			return false;
		}
		final boolean checksFencing = input.manifest().pool(pool).filter(PoolSpec::checksFencing).isPresent();
		return checksFencing || input.nowNanos() - claim.firstSeenAtNanos() >= this.limits.handOverNanos();
	}

	private static String poolOf(OrderInput input, GroupState group) {
		final String instanceId = group.members().get(0).instanceId();
		return input.instances()
			.stream()
			.filter((instance) -> instance.id().equals(instanceId))
			.map(Instance::pool)
			.findFirst()
			.orElse("");
	}

	private void orderLoad(OrderInput input, GroupState group, int rank, List<EngineCommand> commands) {
		final Member member = group.members().get(rank);
		final PresenceProof proof = input.proofsByInstance().get(member.instanceId());
		if (proof != null && matchesOrder(proof.state(), group, rank)) {
			return;
		}
		final EngineOrder order = new EngineOrder(true, group.groupId(), group.epoch(), rank, group.members().size(),
				group.model(), this.limits.lifetimeMillis());
		addUnlessRecent(input, new EngineCommand(member.instanceId(), member.address(), order), commands);
	}

	private static boolean matchesOrder(EngineState state, GroupState group, int rank) {
		return state.groupId().equals(group.groupId()) && state.fencingToken() == group.epoch() && state.rank() == rank
				&& state.phase() != EnginePhase.FREE;
	}

	private void orderUnload(OrderInput input, Instance instance, List<EngineCommand> commands) {
		final PresenceProof proof = input.proofsByInstance().get(instance.id());
		if (proof == null || proof.state().phase() == EnginePhase.FREE) {
			return;
		}
		final EngineState state = proof.state();
		final long epoch = Math.max(state.fencingToken(), input.fleet().lastEpochs().getOrDefault(instance.id(), 0L));
		addUnlessRecent(input, new EngineCommand(instance.id(), instance.address(),
				new EngineOrder(false, state.groupId(), epoch, 0, 0, state.model(), this.limits.lifetimeMillis())),
				commands);
	}

	// Resends only after an interval: otherwise an engine that responds slowly would
	// get the same order on each tick.
	private void addUnlessRecent(OrderInput input, EngineCommand command, List<EngineCommand> commands) {
		final Long sentAtNanos = this.lastSentAtNanos.get(command.instanceId());
		if (sentAtNanos == null || input.nowNanos() - sentAtNanos >= this.limits.resendIntervalNanos()) {
			this.lastSentAtNanos.put(command.instanceId(), input.nowNanos());
			commands.add(command);
		}
	}

	private record AcceptedClaim(long epoch, long firstSeenAtNanos) {
	}

}
