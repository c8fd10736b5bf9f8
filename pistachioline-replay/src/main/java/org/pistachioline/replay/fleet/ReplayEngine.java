package org.pistachioline.replay.fleet;

import org.pistachioline.core.fleet.EngineOrder;
import org.pistachioline.core.fleet.EnginePhase;
import org.pistachioline.core.fleet.EngineState;
import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.state.GroupState;

/**
 * One instance with its engine, as it truly is.
 */
public final class ReplayEngine {

	private final boolean checksFencing;

	private final long loadNanos;

	private Instance listed;

	private boolean up = true;

	private EngineOrder held;

	private long readyAtNanos;

	private long highestFencing = -1;

	private int refusedOrders;

	ReplayEngine(Instance listed, boolean checksFencing, long loadNanos) {
		this.listed = listed;
		this.checksFencing = checksFencing;
		this.loadNanos = loadNanos;
	}

	Instance listed() {
		return this.listed;
	}

	void leave() {
		this.listed = new Instance(this.listed.id(), this.listed.pool(), this.listed.address(),
				this.listed.fabricDomain(), this.listed.availabilityZone(), this.listed.accelerators(), true);
	}

	boolean isUp() {
		return this.up;
	}

	int refusedOrders() {
		return this.refusedOrders;
	}

	/**
	 * Stops answering, keeping what it holds.
	 */
	void goDark() {
		this.up = false;
	}

	void comeBack() {
		this.up = true;
	}

	void order(EngineOrder order, long nowNanos) {
		if (!this.up) {
			return;
		}
		if (this.checksFencing && order.fencingToken() < this.highestFencing) {
			this.refusedOrders++;
			return;
		}
		this.highestFencing = Math.max(this.highestFencing, order.fencingToken());
		if (!order.load()) {
			this.held = null;
		}
		else if (!order.equals(this.held)) {
			this.held = order;
			this.readyAtNanos = nowNanos + this.loadNanos;
		}
	}

	EngineState state(long nowNanos) {
		if (this.held == null) {
			return new EngineState(this.listed.id(), "", this.highestFencing, 0, "", EnginePhase.FREE, 0, 0);
		}
		final EnginePhase phase = (nowNanos >= this.readyAtNanos) ? EnginePhase.READY : EnginePhase.LOADING;
		return new EngineState(this.listed.id(), this.held.groupId(), this.held.fencingToken(), this.held.rank(),
				this.held.model(), phase, 0, 0);
	}

	boolean serves(GroupState group, int rank, long nowNanos) {
		return this.up && this.held != null && this.held.groupId().equals(group.groupId())
				&& this.held.fencingToken() == group.epoch() && this.held.rank() == rank
				&& nowNanos >= this.readyAtNanos;
	}

}
