package org.pistachioline.daemon.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.pistachioline.core.quarantine.TargetCrash;
import org.pistachioline.core.traffic.TargetView;

/**
 * Finds out whether a target that broke off under requests has died.
 * <p>
 * Connections also break where a target has too many, loses an answer or is cut off. Only
 * one at whose address nothing listens any more has died under what it was running. It is
 * asked at once, as another process may soon have its address, and once for all requests
 * that break together. One thread calls it, that of the loop.
 */
final class CrashProbe {

	private final BiConsumer<String, Consumer<Boolean>> connectionProbe;

	private final Consumer<TargetCrash> listener;

	private final Map<String, AffectedRequests> pendingProbes = new HashMap<>();

	/**
	 * Creates a probe.
	 * @param askWhetherRefused asks whether an address refuses connections
	 * @param listener is told of targets that have died
	 */
	CrashProbe(BiConsumer<String, Consumer<Boolean>> askWhetherRefused, Consumer<TargetCrash> listener) {
		this.connectionProbe = askWhetherRefused;
		this.listener = listener;
	}

	/**
	 * Takes word that a target broke off under a request.
	 * @param target the target
	 * @param fingerprint the request's fingerprint
	 * @param inProgress whether it had been answering for a while
	 */
	void onConnectionBroken(TargetView target, String fingerprint, boolean underWay) {
		final AffectedRequests known = this.pendingProbes.get(target.targetId());
		final AffectedRequests victims = (known != null) ? known
				: new AffectedRequests(new HashSet<>(), new HashSet<>());
		(underWay ? victims.inProgress() : victims.starting()).add(fingerprint);
		if (known == null) {
			this.pendingProbes.put(target.targetId(), victims);
			this.connectionProbe.accept(target.address(), (refused) -> onProbeResult(target.targetId(), refused));
		}
	}

	private void onProbeResult(String targetId, boolean refused) {
		final AffectedRequests victims = this.pendingProbes.remove(targetId);
		if (refused) {
			this.listener.accept(new TargetCrash(targetId, victims.starting(), victims.inProgress()));
		}
	}

	/**
	 * What a target was running for this daemon when it broke off.
	 *
	 * @param starting what it had just begun, or not yet
	 * @param inProgress what it had been answering for a while
	 */
	private record AffectedRequests(Set<String> starting, Set<String> inProgress) {

	}

}
