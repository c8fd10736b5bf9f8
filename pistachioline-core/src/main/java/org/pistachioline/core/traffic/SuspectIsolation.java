package org.pistachioline.core.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.placement.TargetLoad;
import org.pistachioline.core.quarantine.QuarantinePolicy;

/**
 * Keeps requests that may crash targets from doing so at several at once.
 * <p>
 * Made for the batch of a group that died: one of its requests may be the cause and would
 * take the next group along. If two suspects ran on one group, its death would condemn
 * both, so each target runs one suspect at a time; an idle target is taken first, and
 * other work goes elsewhere while there is room elsewhere. A group is not emptied for a
 * suspect: that would take its capacity away for as long as its longest stream, after
 * every plain crash. Copies of a request that has never completed go to the target that
 * runs the first one until that gives a token, so that a caller's hasty repeats cost one
 * group and not one each.
 */
final class SuspectIsolation {

	private final QuarantinePolicy quarantine;

	private final Map<String, Long> suspectRequestIdsByTargetId = new HashMap<>();

	private final Map<String, ActiveRequest> firstRunsByFingerprint = new HashMap<>();

	SuspectIsolation(QuarantinePolicy killer) {
		this.quarantine = killer;
	}

	boolean restricts(RequestInfo info) {
		// Nearly always false, so that the usual request costs no look at every target.
		return !info.fingerprint().isEmpty() && (!this.suspectRequestIdsByTargetId.isEmpty()
				|| this.firstRunsByFingerprint.containsKey(info.fingerprint())
				|| this.quarantine.isSuspect(info.fingerprint()));
	}

	List<TargetLoad> filterAllowed(RequestInfo info, List<TargetLoad> open) {
		if (info.fingerprint().isEmpty() || open.isEmpty()) {
			return open;
		}
		final ActiveRequest first = this.firstRunsByFingerprint.get(info.fingerprint());
		final boolean suspect = this.quarantine.isSuspect(info.fingerprint());
		if (first != null) {
			return suspect ? List.of() : open.stream().filter((load) -> load == first.load).toList();
		}
		final List<TargetLoad> free = open.stream().filter((load) -> !runsSuspect(load)).toList();
		if (suspect) {
			final List<TargetLoad> idle = free.stream().filter((load) -> load.inFlight() == 0).toList();
			return idle.isEmpty() ? free : idle;
		}
		return free.isEmpty() ? open : free;
	}

	private boolean runsSuspect(TargetLoad load) {
		return this.suspectRequestIdsByTargetId.containsKey(load.view().targetId());
	}

	void onStart(ActiveRequest flight) {
		final String fingerprint = flight.info.fingerprint();
		if (fingerprint.isEmpty()) {
			return;
		}
		if (this.quarantine.isSuspect(fingerprint)) {
			flight.isolated = true;
			this.suspectRequestIdsByTargetId.put(flight.target.targetId(), flight.info.requestId());
		}
		if (!this.quarantine.isTrusted(fingerprint)) {
			this.firstRunsByFingerprint.putIfAbsent(fingerprint, flight);
		}
	}

	void onOutput(ActiveRequest flight) {
		this.firstRunsByFingerprint.remove(flight.info.fingerprint(), flight);
	}

	void release(ActiveRequest flight) {
		onOutput(flight);
		if (flight.isolated) {
			flight.isolated = false;
			this.suspectRequestIdsByTargetId.remove(flight.target.targetId(), flight.info.requestId());
		}
	}

}
