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
 * Decides which orders the engines of this planner's fabric domains need now, by
 * comparing what is agreed with what each engine says that it holds.
 * <p>
 * Made for planners that pause, are replaced, and wake. An engine that checks fencing
 * numbers refuses what the old one still sends. For those that ignore them three rules
 * hold: no order on a view of the log older than a bound, counted from before the read;
 * no order by a new planner before the old one's last could have expired; and every order
 * is read back and given again until the engine holds what is agreed. A planner that
 * pauses after the first check and before the bytes leave can still send one old order;
 * then the read-back shows another epoch, the group's proof fails, and the order is
 * repeated.
 */
public final class OrderDecider {

	private final String writer;

	private final OrderLimits limits;

	private final Map<String, AcceptedClaim> acceptedClaims = new HashMap<>();

	private final Map<String, Long> lastSentAtNanos = new HashMap<>();

	/**
	 * Creates a decider.
	 * @param writer this planner's name as a writer on the log
	 * @param limits the times to keep
	 */
	public OrderDecider(String writer, OrderLimits limits) {
		this.writer = writer;
		this.limits = limits;
	}

	/**
	 * Decides.
	 * @param input all that is known
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
	 * Returns whether a view of the log is fresh enough to act on; asked again just
	 * before the bytes leave.
	 * @param viewReadAtNanos the monotonic time from before the read
	 * @param nowNanos the monotonic time
	 * @return whether it is
	 */
	public boolean isViewFresh(long viewReadAtNanos, long nowNanos) {
		return nowNanos - viewReadAtNanos <= this.limits.maxViewAgeNanos();
	}

	/**
	 * Returns the fabric domains whose engines get no orders yet, as the last planner's
	 * may still arrive.
	 * @param nowNanos the monotonic time
	 * @return the fabric domains
	 */
	public Set<String> domainsInHandOver(long nowNanos) {
		final Set<String> domains = new HashSet<>();
		this.acceptedClaims.forEach((domain, claimed) -> {
			if (nowNanos - claimed.firstSeenAtNanos() < this.limits.handOverNanos()) {
				domains.add(domain);
			}
		});
		return domains;
	}

	// The wait counts from when the claim was seen accepted, which is after it was.
	private void trackClaims(OrderInput input) {
		this.acceptedClaims.keySet().removeIf((domain) -> !isPlannedHere(input.fleet(), domain));
		input.fleet().planners().forEach((domain, planner) -> {
			final AcceptedClaim claimed = this.acceptedClaims.get(domain);
			if (isPlannedHere(input.fleet(), domain) && (claimed == null || claimed.epoch() != planner.epoch())) {
				this.acceptedClaims.put(domain, new AcceptedClaim(planner.epoch(), input.nowNanos()));
			}
		});
		final Set<String> listed = new HashSet<>(input.fleet().groupIdsByInstance().keySet());
		input.instances().forEach((instance) -> listed.add(instance.id()));
		this.lastSentAtNanos.keySet().retainAll(listed);
	}

	private boolean isPlannedHere(FleetState fleet, String domain) {
		final PlannerEpoch planner = fleet.planners().get(domain);
		return planner != null && planner.writer().equals(this.writer);
	}

	private boolean maySendOrders(OrderInput input, String domain, String pool) {
		final AcceptedClaim claimed = this.acceptedClaims.get(domain);
		if (claimed == null) {
			return false;
		}
		final boolean checked = input.manifest().pool(pool).filter(PoolSpec::checksFencing).isPresent();
		return checked || input.nowNanos() - claimed.firstSeenAtNanos() >= this.limits.handOverNanos();
	}

	private static String poolOf(OrderInput input, GroupState group) {
		final String first = group.members().get(0).instanceId();
		return input.instances()
			.stream()
			.filter((instance) -> instance.id().equals(first))
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

	private static boolean matchesOrder(EngineState held, GroupState group, int rank) {
		return held.groupId().equals(group.groupId()) && held.fencingToken() == group.epoch() && held.rank() == rank
				&& held.phase() != EnginePhase.FREE;
	}

	private void orderUnload(OrderInput input, Instance instance, List<EngineCommand> commands) {
		final PresenceProof proof = input.proofsByInstance().get(instance.id());
		if (proof == null || proof.state().phase() == EnginePhase.FREE) {
			return;
		}
		final EngineState held = proof.state();
		final long epoch = Math.max(held.fencingToken(), input.fleet().lastEpochs().getOrDefault(instance.id(), 0L));
		addUnlessRecent(input, new EngineCommand(instance.id(), instance.address(),
				new EngineOrder(false, held.groupId(), epoch, 0, 0, held.model(), this.limits.lifetimeMillis())),
				commands);
	}

	// Given again only after it had time to work: else an engine that is slow to answer
	// would get the same order at each tick.
	private void addUnlessRecent(OrderInput input, EngineCommand command, List<EngineCommand> commands) {
		final Long sent = this.lastSentAtNanos.get(command.instanceId());
		if (sent == null || input.nowNanos() - sent >= this.limits.resendIntervalNanos()) {
			this.lastSentAtNanos.put(command.instanceId(), input.nowNanos());
			commands.add(command);
		}
	}

	private record AcceptedClaim(long epoch, long firstSeenAtNanos) {
	}

}
