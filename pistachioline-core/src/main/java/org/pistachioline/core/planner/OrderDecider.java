package org.pistachioline.core.planner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.fleet.EngineCommand;
import org.pistachioline.core.fleet.EngineOrder;
import org.pistachioline.core.fleet.HeldPhase;
import org.pistachioline.core.fleet.HeldState;
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

	private final Map<String, Claimed> claims = new HashMap<>();

	private final Map<String, Long> sentAtNanos = new HashMap<>();

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
		noteClaims(input);
		if (!isFresh(input.viewReadAtNanos(), input.nowNanos())) {
			return List.of();
		}
		final List<EngineCommand> commands = new ArrayList<>();
		for (final GroupState group : input.fleet().groups().values()) {
			if (!input.proven().contains(group.epoch())
					&& mayOrder(input, group.fabricDomain(), poolOf(input, group))) {
				for (int rank = 0; rank < group.members().size(); rank++) {
					load(input, group, rank, commands);
				}
			}
		}
		for (final Instance instance : input.instances()) {
			final boolean free = !input.fleet().groupIdsByInstance().containsKey(instance.id());
			if (free && mayOrder(input, instance.fabricDomain(), instance.pool())) {
				unload(input, instance, commands);
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
	public boolean isFresh(long viewReadAtNanos, long nowNanos) {
		return nowNanos - viewReadAtNanos <= this.limits.freshViewNanos();
	}

	/**
	 * Returns the fabric domains whose engines get no orders yet, as the last planner's
	 * may still arrive.
	 * @param nowNanos the monotonic time
	 * @return the fabric domains
	 */
	public Set<String> handingOver(long nowNanos) {
		final Set<String> domains = new HashSet<>();
		this.claims.forEach((domain, claimed) -> {
			if (nowNanos - claimed.seenAtNanos() < this.limits.handOverNanos()) {
				domains.add(domain);
			}
		});
		return domains;
	}

	// The wait counts from when the claim was seen accepted, which is after it was.
	private void noteClaims(OrderInput input) {
		this.claims.keySet().removeIf((domain) -> !isMine(input.fleet(), domain));
		input.fleet().planners().forEach((domain, planner) -> {
			final Claimed claimed = this.claims.get(domain);
			if (isMine(input.fleet(), domain) && (claimed == null || claimed.epoch() != planner.epoch())) {
				this.claims.put(domain, new Claimed(planner.epoch(), input.nowNanos()));
			}
		});
		final Set<String> listed = new HashSet<>(input.fleet().groupIdsByInstance().keySet());
		input.instances().forEach((instance) -> listed.add(instance.id()));
		this.sentAtNanos.keySet().retainAll(listed);
	}

	private boolean isMine(FleetState fleet, String domain) {
		final PlannerEpoch planner = fleet.planners().get(domain);
		return planner != null && planner.writer().equals(this.writer);
	}

	private boolean mayOrder(OrderInput input, String domain, String pool) {
		final Claimed claimed = this.claims.get(domain);
		if (claimed == null) {
			return false;
		}
		final boolean checked = input.manifest().pool(pool).filter(PoolSpec::checksFencing).isPresent();
		return checked || input.nowNanos() - claimed.seenAtNanos() >= this.limits.handOverNanos();
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

	private void load(OrderInput input, GroupState group, int rank, List<EngineCommand> commands) {
		final Member member = group.members().get(rank);
		final PresenceProof proof = input.proofs().get(member.instanceId());
		if (proof != null && isAsOrdered(proof.held(), group, rank)) {
			return;
		}
		final EngineOrder order = new EngineOrder(true, group.groupId(), group.epoch(), rank, group.members().size(),
				group.model(), this.limits.lifetimeMillis());
		send(input, new EngineCommand(member.instanceId(), member.address(), order), commands);
	}

	private static boolean isAsOrdered(HeldState held, GroupState group, int rank) {
		return held.groupId().equals(group.groupId()) && held.fencingNumber() == group.epoch() && held.rank() == rank
				&& held.phase() != HeldPhase.FREE;
	}

	private void unload(OrderInput input, Instance instance, List<EngineCommand> commands) {
		final PresenceProof proof = input.proofs().get(instance.id());
		if (proof == null || proof.held().phase() == HeldPhase.FREE) {
			return;
		}
		final HeldState held = proof.held();
		final long epoch = Math.max(held.fencingNumber(), input.fleet().lastEpochs().getOrDefault(instance.id(), 0L));
		send(input, new EngineCommand(instance.id(), instance.address(),
				new EngineOrder(false, held.groupId(), epoch, 0, 0, held.model(), this.limits.lifetimeMillis())),
				commands);
	}

	// Given again only after it had time to work: else an engine that is slow to answer
	// would get the same order at each tick.
	private void send(OrderInput input, EngineCommand command, List<EngineCommand> commands) {
		final Long sent = this.sentAtNanos.get(command.instanceId());
		if (sent == null || input.nowNanos() - sent >= this.limits.repeatNanos()) {
			this.sentAtNanos.put(command.instanceId(), input.nowNanos());
			commands.add(command);
		}
	}

	private record Claimed(long epoch, long seenAtNanos) {
	}

}
