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
 * Publishes the requests that were running when groups crashed to all daemons, as records
 * on the fleet stream of the log.
 */
public final class LogSuspectReporter implements SuspectReporter {

	private final AppendDuty appender;

	private final String fleetStream;

	/**
	 * Creates the reporter.
	 * @param appender appends records
	 * @param fleetStream the fleet stream's name
	 */
	public LogSuspectReporter(AppendDuty appender, String fleetStream) {
		this.appender = appender;
		this.fleetStream = fleetStream;
	}

	/**
	 * Appends a record of a suspected or quarantined request. The report is dropped if
	 * the appender's ring is full: the next crash causes another one.
	 * @param suspect the request and the target that crashed
	 * @param nowMillis the wall-clock time
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
	 * Returns the requests whose quarantine has not expired.
	 * @param fleet the fleet's state
	 * @param nowMillis the wall-clock time
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
	 * Returns the requests whose suspicion has not expired.
	 * @param fleet the fleet's state
	 * @param nowMillis the wall-clock time
	 * @return the id of the target that crashed, by fingerprint
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
