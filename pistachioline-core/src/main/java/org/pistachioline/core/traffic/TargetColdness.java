package org.pistachioline.core.traffic;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.cold.ColdRegistry;
import org.pistachioline.core.cold.ColdReport;
import org.pistachioline.core.cold.ColdTarget;
import org.pistachioline.core.route.ColdStart;

/**
 * Paces the requests to targets that have not warmed up.
 */
public final class TargetColdness {

	private final TargetRegistry targets;

	private final DeadlineAdmission deadlineAdmission;

	private final ColdRegistry registry;

	TargetColdness(TargetRegistry targets, DeadlineAdmission deadlineAdmission) {
		this.targets = targets;
		this.deadlineAdmission = deadlineAdmission;
		this.registry = targets.limits().cold();
	}

	/**
	 * Declares that the fleet has other daemons, so that this one uses no part of a rate
	 * until it has met some of them.
	 */
	public void expectPeers() {
		this.registry.expectPeers();
	}

	/**
	 * Applies the configuration.
	 * @param nowNanos the monotonic time
	 * @param byService how cold instances behave, by the name of their service
	 */
	public void configure(long nowNanos, Map<String, ColdStart> byService) {
		this.registry.configure(nowNanos, byService);
		this.targets.refresh(nowNanos);
	}

	/**
	 * Applies the daemons that announced that they are leaving.
	 * @param nowNanos the monotonic time
	 * @param leavingIds the leaving daemons, possibly this one
	 */
	public void onLeavingDaemons(long nowNanos, Set<String> leavingIds) {
		this.registry.onLeavingDaemons(nowNanos, leavingIds);
	}

	/**
	 * Records instances that this daemon itself found to be cold.
	 * @param nowNanos the monotonic time
	 * @param found the instances
	 * @return those that are news for other daemons
	 */
	public List<ColdTarget> onFound(long nowNanos, List<ColdTarget> found) {
		return refreshed(nowNanos, this.registry.onFound(nowNanos, found));
	}

	/**
	 * Records instances that another daemon found to be cold.
	 * @param nowNanos the monotonic time
	 * @param told the instances
	 * @return those that this daemon did not know to be cold
	 */
	public List<ColdTarget> onPeerTargets(long nowNanos, List<ColdTarget> told) {
		return refreshed(nowNanos, this.registry.onPeerTargets(nowNanos, told));
	}

	/**
	 * Records that an instance crashed.
	 * @param nowNanos the monotonic time
	 * @param instanceId the instance
	 * @return the instance, if that is news for other daemons
	 */
	public List<ColdTarget> onCrash(long nowNanos, String instanceId) {
		return refreshed(nowNanos, this.registry.onCrash(nowNanos, instanceId));
	}

	private List<ColdTarget> refreshed(long nowNanos, List<ColdTarget> changed) {
		if (!changed.isEmpty()) {
			this.targets.refresh(nowNanos);
			this.deadlineAdmission.recheckQueued(nowNanos);
		}
		return changed;
	}

	/**
	 * Ends the cold times that are over.
	 * @param nowNanos the monotonic time
	 * @return the instances that are no longer cold
	 */
	public List<String> onTick(long nowNanos) {
		final List<String> warm = this.registry.onTick(nowNanos);
		if (!warm.isEmpty()) {
			this.targets.refresh(nowNanos);
		}
		return warm;
	}

	/**
	 * Returns the instances to tell other daemons of.
	 * @param nowNanos the monotonic time
	 * @return the cold instances, those that stay cold longest first
	 */
	public List<ColdTarget> coldTargets(long nowNanos) {
		return this.registry.coldTargets(nowNanos);
	}

	/**
	 * Lists the cold instances, for operators.
	 * @param nowNanos the monotonic time
	 * @return the instances
	 */
	public List<ColdReport> reports(long nowNanos) {
		return this.registry.reports(nowNanos);
	}

}
