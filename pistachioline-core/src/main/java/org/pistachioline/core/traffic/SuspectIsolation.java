package org.pistachioline.core.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.placement.TargetLoad;
import org.pistachioline.core.quarantine.QuarantinePolicy;

/**
 * Restricts the placement of requests that may crash targets, so that they do not crash
 * several targets at once.
 * <p>
 * When a group crashes, every request of its batch is a suspect, since any of them may be
 * the cause and would crash the next group too. If two suspects ran on one group, its
 * crash would count against both, so each target runs one suspect at a time. A suspect
 * goes to an idle target if there is one, and other requests avoid targets that run a
 * suspect while there is capacity elsewhere. Groups are not drained for a suspect: after
 * every ordinary crash that would take a group's capacity away until its longest stream
 * has ended.
 * <p>
 * Concurrent copies of a request that has never completed run on the target of the first
 * copy until that one delivers a token. Copies that a caller sends in quick succession
 * can thus crash one group instead of one group each.
 */
final class SuspectIsolation {

	private final QuarantinePolicy quarantine;

	private final Map<String, Long> suspectRequestIdsByTargetId = new HashMap<>();

	private final Map<String, ActiveRequest> firstRunsByFingerprint = new HashMap<>();

	SuspectIsolation(QuarantinePolicy quarantine) {
		this.quarantine = quarantine;
	}

	boolean restricts(RequestInfo info) {
		// Almost always false, which spares ordinary requests a scan of all targets.
		return !info.fingerprint().isEmpty() && (!this.suspectRequestIdsByTargetId.isEmpty()
				|| this.firstRunsByFingerprint.containsKey(info.fingerprint())
				|| this.quarantine.isSuspect(info.fingerprint()));
	}

	List<TargetLoad> filterAllowed(RequestInfo info, List<TargetLoad> available) {
		if (info.fingerprint().isEmpty() || available.isEmpty()) {
			return available;
		}
		final ActiveRequest firstRun = this.firstRunsByFingerprint.get(info.fingerprint());
		final boolean suspect = this.quarantine.isSuspect(info.fingerprint());
		if (firstRun != null) {
			return suspect ? List.of() : available.stream().filter((load) -> load == firstRun.load).toList();
		}
		final List<TargetLoad> withoutSuspect = available.stream().filter((load) -> !runsSuspect(load)).toList();
		if (suspect) {
			final List<TargetLoad> idle = withoutSuspect.stream().filter((load) -> load.inFlight() == 0).toList();
			return idle.isEmpty() ? withoutSuspect : idle;
		}
		return withoutSuspect.isEmpty() ? available : withoutSuspect;
	}

	private boolean runsSuspect(TargetLoad load) {
		return this.suspectRequestIdsByTargetId.containsKey(load.view().targetId());
	}

	void onStart(ActiveRequest request) {
		final String fingerprint = request.info.fingerprint();
		if (fingerprint.isEmpty()) {
			return;
		}
		if (this.quarantine.isSuspect(fingerprint)) {
			request.isolated = true;
			this.suspectRequestIdsByTargetId.put(request.target.targetId(), request.info.requestId());
		}
		if (!this.quarantine.isTrusted(fingerprint)) {
			this.firstRunsByFingerprint.putIfAbsent(fingerprint, request);
		}
	}

	void onOutput(ActiveRequest request) {
		this.firstRunsByFingerprint.remove(request.info.fingerprint(), request);
	}

	void release(ActiveRequest request) {
		onOutput(request);
		if (request.isolated) {
			request.isolated = false;
			this.suspectRequestIdsByTargetId.remove(request.target.targetId(), request.info.requestId());
		}
	}

}
