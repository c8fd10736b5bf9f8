package org.pistachioline.daemon.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.pistachioline.core.quarantine.LogBasedQuarantine;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.record.RequestQuarantine;
import org.pistachioline.core.record.RequestSuspicion;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.agreed.AppendDuty;

/**
 * Shares with all daemons which requests groups died under.
 */
public final class LogSuspectReporter implements SuspectReporter {

	private final AppendDuty appender;

	private final String fleetStream;

	/**
	 * Creates the reports.
	 * @param appender appends records
	 * @param fleetStream the fleet stream's name
	 */
	public LogSuspectReporter(AppendDuty appender, String fleetStream) {
		this.appender = appender;
		this.fleetStream = fleetStream;
	}

	/**
	 * Reports a death. A report that finds no room is dropped: the next death makes
	 * another.
	 * @param suspect the request and the target that died
	 * @param nowMillis the wall clock's time
	 */
	@Override
	public void report(TrafficAction.ReportSuspect suspect, long nowMillis) {
		this.appender.append(this.fleetStream, toRecord(suspect, nowMillis));
	}

	static RecordBody toRecord(TrafficAction.ReportSuspect suspect, long nowMillis) {
		final long untilMillis = nowMillis + TimeUnit.MINUTES.toMillis(LogBasedQuarantine.QUARANTINE_MINUTES);
		final String targetId = suspect.target().targetId();
		if (suspect.quarantine()) {
			return new RequestQuarantine(suspect.fingerprint(), untilMillis,
					"two groups died under it, the last " + targetId);
		}
		return new RequestSuspicion(suspect.fingerprint(), targetId.substring(0, targetId.lastIndexOf('@')),
				suspect.target().epoch(), untilMillis);
	}

	/**
	 * Returns the quarantined requests that have not expired.
	 * @param fleet the fleet's state
	 * @param nowMillis the wall clock's time
	 * @return their fingerprints
	 */
	public static Set<String> quarantined(FleetState fleet, long nowMillis) {
		final Set<String> fingerprints = new HashSet<>();
		fleet.quarantines().values().forEach((quarantine) -> {
			if (quarantine.expiresAtMillis() > nowMillis) {
				fingerprints.add(quarantine.fingerprint());
			}
		});
		return fingerprints;
	}

	/**
	 * Returns the suspected requests whose suspicion has not expired.
	 * @param fleet the fleet's state
	 * @param nowMillis the wall clock's time
	 * @return for each fingerprint the target that died
	 */
	public static Map<String, String> suspected(FleetState fleet, long nowMillis) {
		final Map<String, String> targetIds = new HashMap<>();
		fleet.suspicions().values().forEach((suspicion) -> {
			if (suspicion.expiresAtMillis() > nowMillis) {
				targetIds.put(suspicion.fingerprint(), suspicion.groupId() + "@" + suspicion.groupEpoch());
			}
		});
		return targetIds;
	}

}
