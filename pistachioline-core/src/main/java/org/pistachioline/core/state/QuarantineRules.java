package org.pistachioline.core.state;

import java.util.Comparator;
import java.util.Map;
import java.util.function.ToLongFunction;

import org.pcollections.PMap;

import org.pistachioline.core.quarantine.LogBasedQuarantine;
import org.pistachioline.core.record.RequestQuarantine;
import org.pistachioline.core.record.RequestSuspicion;

/**
 * Applies reports of requests during which replica groups crashed, and quarantines.
 * <p>
 * Two daemons can run copies of the same request concurrently and lose one group each.
 * Neither daemon sees more than one crash, but both reports are on the log. A second
 * report that names another group and follows within {@value #CONCURRENT_REPORTS_MILLIS}
 * ms therefore quarantines the request. As the decision is made in log order, all daemons
 * reach the same result. Later reports do not quarantine: in the meantime a daemon may
 * have cleared the request because it kept running, which is not recorded on the log, and
 * it may only have run in the same batch as the request at fault again.
 * <p>
 * Entries that have expired by the time of a newer report are removed, and the numbers of
 * suspicions and quarantines are limited, so a burst of reports cannot grow the state
 * without bound. The limit on quarantines also keeps an outage of many groups from
 * blocking the requests of all callers.
 */
final class QuarantineRules {

	private static final int MAX_SUSPICIONS = 1024;

	/**
	 * The greatest difference in time between two reports that still count as concurrent.
	 * The retry of a suspected request is delayed by as much, so two crashes this close
	 * in time come from two copies of the request and not from a retry.
	 */
	private static final long CONCURRENT_REPORTS_MILLIS = 300;

	private static final long LIFETIME_MILLIS = LogBasedQuarantine.QUARANTINE_MINUTES * 60_000;

	private QuarantineRules() {
	}

	static FleetState applyQuarantine(FleetState state, RequestQuarantine quarantine) {
		final FleetState unexpired = withoutExpired(state, quarantine.expiresAtMillis() - LIFETIME_MILLIS);
		final boolean full = unexpired.quarantines().size() >= LogBasedQuarantine.MAX_QUARANTINES;
		return full ? unexpired : unexpired.withQuarantine(quarantine);
	}

	static FleetState applySuspicion(FleetState state, RequestSuspicion suspicion) {
		final FleetState unexpired = withoutExpired(state, suspicion.expiresAtMillis() - LIFETIME_MILLIS);
		final RequestSuspicion earlier = unexpired.suspicions().get(suspicion.fingerprint());
		if (earlier != null && namesOtherGroup(earlier, suspicion) && isConcurrent(earlier, suspicion)) {
			return applyQuarantine(unexpired,
					new RequestQuarantine(suspicion.fingerprint(), suspicion.expiresAtMillis(),
							"groups " + earlier.groupId() + " and " + suspicion.groupId() + " died under it"));
		}
		return limitSuspicions(unexpired.withSuspicion(suspicion));
	}

	private static boolean namesOtherGroup(RequestSuspicion one, RequestSuspicion other) {
		return one.groupEpoch() != other.groupEpoch() || !one.groupId().equals(other.groupId());
	}

	private static boolean isConcurrent(RequestSuspicion one, RequestSuspicion other) {
		return Math.abs(one.expiresAtMillis() - other.expiresAtMillis()) <= CONCURRENT_REPORTS_MILLIS;
	}

	private static FleetState withoutExpired(FleetState state, long atMillis) {
		return state.withQuarantinesAndSuspicions(
				removeExpired(state.quarantines(), RequestQuarantine::expiresAtMillis, atMillis),
				removeExpired(state.suspicions(), RequestSuspicion::expiresAtMillis, atMillis));
	}

	private static <V> PMap<String, V> removeExpired(PMap<String, V> entries, ToLongFunction<V> expiresAtMillis,
			long atMillis) {
		PMap<String, V> remaining = entries;
		for (final Map.Entry<String, V> entry : entries.entrySet()) {
			if (expiresAtMillis.applyAsLong(entry.getValue()) <= atMillis) {
				remaining = remaining.minus(entry.getKey());
			}
		}
		return remaining;
	}

	private static FleetState limitSuspicions(FleetState state) {
		if (state.suspicions().size() <= MAX_SUSPICIONS) {
			return state;
		}
		final RequestSuspicion soonestToExpire = state.suspicions()
			.values()
			.stream()
			.min(Comparator.comparingLong(RequestSuspicion::expiresAtMillis)
				.thenComparing(RequestSuspicion::fingerprint))
			.orElseThrow();
		return state.withQuarantinesAndSuspicions(state.quarantines(),
				state.suspicions().minus(soonestToExpire.fingerprint()));
	}

}
