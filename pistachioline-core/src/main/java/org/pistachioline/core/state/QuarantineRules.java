package org.pistachioline.core.state;

import java.util.Comparator;
import java.util.Map;
import java.util.function.ToLongFunction;

import org.pcollections.PMap;

import org.pistachioline.core.quarantine.LogBasedQuarantine;
import org.pistachioline.core.record.RequestQuarantine;
import org.pistachioline.core.record.RequestSuspicion;

/**
 * Folds what daemons report of requests under which groups died.
 * <p>
 * Copies of one request may kill a group each at two daemons in the same moment, and
 * neither daemon sees more than one death. The log sees both: a second report with
 * another group, at nearly the same time, quarantines the request in log order and so on
 * all daemons alike. Later reports do not: in between the request may have been cleared
 * where it ran on, which is not on the log, and may only have run beside the culprit
 * again. What has expired by the time of a newer report is dropped, and both tables are
 * bounded, so that a storm of reports cannot grow the state; the cap on quarantines keeps
 * an outage of many groups from barring everybody's requests.
 */
final class QuarantineRules {

	private static final int MAX_SUSPICIONS = 1024;

	/**
	 * A suspect's second run waits as long, so that two deaths this close are two
	 * copies'.
	 */
	private static final long CONCURRENT_REPORTS_MILLIS = 300;

	private static final long LIFETIME_MILLIS = LogBasedQuarantine.QUARANTINE_MINUTES * 60_000;

	private QuarantineRules() {
	}

	static FleetState applyQuarantine(FleetState state, RequestQuarantine quarantine) {
		final FleetState current = withoutExpired(state, quarantine.expiresAtMillis() - LIFETIME_MILLIS);
		final boolean full = current.quarantines().size() >= LogBasedQuarantine.MAX_QUARANTINES;
		return full ? current : current.withQuarantine(quarantine);
	}

	static FleetState applySuspicion(FleetState state, RequestSuspicion suspicion) {
		final FleetState current = withoutExpired(state, suspicion.expiresAtMillis() - LIFETIME_MILLIS);
		final RequestSuspicion known = current.suspicions().get(suspicion.fingerprint());
		if (known != null && namesOtherGroup(known, suspicion) && isConcurrent(known, suspicion)) {
			return applyQuarantine(current, new RequestQuarantine(suspicion.fingerprint(), suspicion.expiresAtMillis(),
					"groups " + known.groupId() + " and " + suspicion.groupId() + " died under it"));
		}
		return limitSuspicions(current.withSuspicion(suspicion));
	}

	private static boolean namesOtherGroup(RequestSuspicion one, RequestSuspicion other) {
		return one.groupEpoch() != other.groupEpoch() || !one.groupId().equals(other.groupId());
	}

	private static boolean isConcurrent(RequestSuspicion one, RequestSuspicion other) {
		return Math.abs(one.expiresAtMillis() - other.expiresAtMillis()) <= CONCURRENT_REPORTS_MILLIS;
	}

	private static FleetState withoutExpired(FleetState state, long atMillis) {
		return state.withQuarantinesAndSuspicions(
				unexpired(state.quarantines(), RequestQuarantine::expiresAtMillis, atMillis),
				unexpired(state.suspicions(), RequestSuspicion::expiresAtMillis, atMillis));
	}

	private static <V> PMap<String, V> unexpired(PMap<String, V> entries, ToLongFunction<V> expiresAtMillis,
			long atMillis) {
		PMap<String, V> left = entries;
		for (final Map.Entry<String, V> entry : entries.entrySet()) {
			if (expiresAtMillis.applyAsLong(entry.getValue()) <= atMillis) {
				left = left.minus(entry.getKey());
			}
		}
		return left;
	}

	private static FleetState limitSuspicions(FleetState state) {
		if (state.suspicions().size() <= MAX_SUSPICIONS) {
			return state;
		}
		final RequestSuspicion first = state.suspicions()
			.values()
			.stream()
			.min(Comparator.comparingLong(RequestSuspicion::expiresAtMillis)
				.thenComparing(RequestSuspicion::fingerprint))
			.orElseThrow();
		return state.withQuarantinesAndSuspicions(state.quarantines(), state.suspicions().minus(first.fingerprint()));
	}

}
