package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records why groups cease to serve and how long their members then stand still.
 */
final class GroupLosses {

	/** Bounds the losses that nobody takes. */
	private static final int MAX_RECORDED = 1_000;

	private final Set<GroupId> serving = new HashSet<>();

	private final Map<GroupId, Standstill> standstills = new HashMap<>();

	private final List<GroupLoss> ended = new ArrayList<>();

	/**
	 * Observes a group in a planning pass.
	 * @param view what the planner sees
	 * @param tracked the group
	 * @param status its state
	 * @param hasEnded whether its members are free
	 */
	void observe(PlannerView view, TrackedGroup tracked, GroupStatus status, boolean hasEnded) {
		if (status.serves() && !tracked.dissolving) {
			this.serving.add(tracked.id);
			this.standstills.remove(tracked.id);
		}
		else if (this.serving.remove(tracked.id)) {
			this.standstills.put(tracked.id, new Standstill(view.nowNanos(), cause(view, tracked, status)));
		}
		if (hasEnded) {
			end(view.nowNanos(), tracked.id);
		}
	}

	private void end(long nowNanos, GroupId group) {
		this.serving.remove(group);
		final Standstill standstill = this.standstills.remove(group);
		if (standstill != null && this.ended.size() < MAX_RECORDED) {
			this.ended.add(new GroupLoss(group, standstill.cause(), nowNanos - standstill.sinceNanos()));
		}
	}

	private static GroupLoss.Cause cause(PlannerView view, TrackedGroup tracked, GroupStatus status) {
		if (tracked.dissolving) {
			return GroupLoss.Cause.EXCHANGED;
		}
		if (tracked.memberIds.stream().anyMatch((id) -> id != null && view.unresponsiveIds().contains(id))) {
			return GroupLoss.Cause.UNRESPONSIVE;
		}
		if (!status.allListed()) {
			return GroupLoss.Cause.DELISTED;
		}
		if (status.headState().filter((state) -> state == MemberState.BROKEN).isPresent()) {
			return GroupLoss.Cause.BROKEN;
		}
		return status.anyDraining() ? GroupLoss.Cause.DRAINING : GroupLoss.Cause.OTHER;
	}

	List<GroupLoss> take() {
		final List<GroupLoss> taken = List.copyOf(this.ended);
		this.ended.clear();
		return taken;
	}

	void clear() {
		this.serving.clear();
		this.standstills.clear();
		this.ended.clear();
	}

	private record Standstill(long sinceNanos, GroupLoss.Cause cause) {

	}

}
