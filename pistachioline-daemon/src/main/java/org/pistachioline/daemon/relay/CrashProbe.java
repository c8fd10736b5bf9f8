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

	private final BiConsumer<String, Consumer<Boolean>> askWhetherRefused;

	private final Consumer<TargetCrash> listener;

	private final Map<String, Victims> asked = new HashMap<>();

	/**
	 * Creates a probe.
	 * @param askWhetherRefused asks whether an address refuses connections
	 * @param listener is told of targets that have died
	 */
	CrashProbe(BiConsumer<String, Consumer<Boolean>> askWhetherRefused, Consumer<TargetCrash> listener) {
		this.askWhetherRefused = askWhetherRefused;
		this.listener = listener;
	}

	/**
	 * Takes word that a target broke off under a request.
	 * @param target the target
	 * @param fingerprint the request's fingerprint
	 * @param underWay whether it had been answering for a while
	 */
	void onBreak(TargetView target, String fingerprint, boolean underWay) {
		final Victims known = this.asked.get(target.targetId());
		final Victims victims = (known != null) ? known : new Victims(new HashSet<>(), new HashSet<>());
		(underWay ? victims.underWay() : victims.beginning()).add(fingerprint);
		if (known == null) {
			this.asked.put(target.targetId(), victims);
			this.askWhetherRefused.accept(target.address(), (refused) -> onAnswer(target.targetId(), refused));
		}
	}

	private void onAnswer(String targetId, boolean refused) {
		final Victims victims = this.asked.remove(targetId);
		if (refused) {
			this.listener.accept(new TargetCrash(targetId, victims.beginning(), victims.underWay()));
		}
	}

	/**
	 * What a target was running for this daemon when it broke off.
	 *
	 * @param beginning what it had just begun, or not yet
	 * @param underWay what it had been answering for a while
	 */
	private record Victims(Set<String> beginning, Set<String> underWay) {

	}

}
