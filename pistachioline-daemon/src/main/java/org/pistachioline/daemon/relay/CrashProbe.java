package org.pistachioline.daemon.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.pistachioline.core.quarantine.TargetCrash;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetView;

/**
 * Determines whether a target has crashed after its connections broke under requests.
 * <p>
 * Connections also break when a target has too many of them, loses a response or is
 * partitioned from the network. Only a target whose address refuses new connections has
 * crashed under the requests it was running. The probe starts immediately, because
 * another process may soon reuse the address, and there is one probe for all requests
 * whose connections break together. Not thread-safe: all calls come from the event loop.
 */
final class CrashProbe {

	private final BiConsumer<String, Consumer<Boolean>> connectionProbe;

	private final Consumer<TargetCrash> listener;

	private final Map<String, AffectedRequests> pendingProbes = new HashMap<>();

	/**
	 * Creates a probe.
	 * @param connectionProbe checks asynchronously whether an address refuses connections
	 * @param listener receives the targets that have crashed
	 */
	CrashProbe(BiConsumer<String, Consumer<Boolean>> connectionProbe, Consumer<TargetCrash> listener) {
		this.connectionProbe = connectionProbe;
		this.listener = listener;
	}

	/**
	 * Records that a target's connection broke while it had a request.
	 * @param target the target
	 * @param request the request
	 * @param inProgress whether the target was past the starting phase of the response
	 */
	void onConnectionBroken(TargetView target, RequestInfo request, boolean inProgress) {
		final AffectedRequests pending = this.pendingProbes.get(target.targetId());
		final AffectedRequests affected = (pending != null) ? pending
				: new AffectedRequests(new HashSet<>(), new HashSet<>(), new HashSet<>());
		affected.add(request, inProgress);
		if (pending == null) {
			this.pendingProbes.put(target.targetId(), affected);
			this.connectionProbe.accept(target.address(), (refused) -> onProbeResult(target.targetId(), refused));
		}
	}

	private void onProbeResult(String targetId, boolean refused) {
		final AffectedRequests affected = this.pendingProbes.remove(targetId);
		if (refused) {
			this.listener.accept(
					new TargetCrash(targetId, affected.starting(), affected.inProgress(), affected.startingParts()));
		}
	}

	/**
	 * The fingerprints of this daemon's requests that a target had when their connections
	 * broke.
	 *
	 * @param starting the requests whose response had not started or had only just
	 * started
	 * @param inProgress the requests whose response was past the starting phase
	 * @param startingParts the shared parts of the prompts of the starting requests
	 */
	private record AffectedRequests(Set<String> starting, Set<String> inProgress, Set<String> startingParts) {

		void add(RequestInfo request, boolean pastStart) {
			(pastStart ? this.inProgress : this.starting).add(request.fingerprint());
			if (!pastStart) {
				this.startingParts.addAll(request.sharedPromptParts());
			}
		}

	}

}
