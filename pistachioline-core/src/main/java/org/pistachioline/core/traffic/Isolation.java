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
final class Isolation {

	private final QuarantinePolicy killer;

	private final Map<String, Long> suspectsByTargetId = new HashMap<>();

	private final Map<String, Flight> unproven = new HashMap<>();

	Isolation(QuarantinePolicy killer) {
		this.killer = killer;
	}

	boolean restricts(RequestInfo info) {
		// Nearly always false, so that the usual request costs no look at every target.
		return !info.fingerprint().isEmpty() && (!this.suspectsByTargetId.isEmpty()
				|| this.unproven.containsKey(info.fingerprint()) || this.killer.isSuspect(info.fingerprint()));
	}

	List<TargetLoad> allowed(RequestInfo info, List<TargetLoad> open) {
		if (info.fingerprint().isEmpty() || open.isEmpty()) {
			return open;
		}
		final Flight first = this.unproven.get(info.fingerprint());
		final boolean suspect = this.killer.isSuspect(info.fingerprint());
		if (first != null) {
			return suspect ? List.of() : open.stream().filter((load) -> load == first.load).toList();
		}
		final List<TargetLoad> free = open.stream().filter((load) -> !isTaken(load)).toList();
		if (suspect) {
			final List<TargetLoad> idle = free.stream().filter((load) -> load.inFlight() == 0).toList();
			return idle.isEmpty() ? free : idle;
		}
		return free.isEmpty() ? open : free;
	}

	private boolean isTaken(TargetLoad load) {
		return this.suspectsByTargetId.containsKey(load.view().targetId());
	}

	void onStart(Flight flight) {
		final String fingerprint = flight.info.fingerprint();
		if (fingerprint.isEmpty()) {
			return;
		}
		if (this.killer.isSuspect(fingerprint)) {
			flight.apart = true;
			this.suspectsByTargetId.put(flight.target.targetId(), flight.info.requestId());
		}
		if (!this.killer.isTrusted(fingerprint)) {
			this.unproven.putIfAbsent(fingerprint, flight);
		}
	}

	void onToken(Flight flight) {
		this.unproven.remove(flight.info.fingerprint(), flight);
	}

	void onLeave(Flight flight) {
		onToken(flight);
		if (flight.apart) {
			flight.apart = false;
			this.suspectsByTargetId.remove(flight.target.targetId(), flight.info.requestId());
		}
	}

}
