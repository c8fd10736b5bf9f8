package org.pistachioline.daemon.traffic;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.quarantine.CrashReport;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.core.quarantine.TargetCrash;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.event.Events;

/**
 * Passes reports of crashed targets to the traffic core and to other daemons, and exposes
 * the suspected requests to other threads.
 */
public final class CrashMonitor {

	/** Maximum age of the reports that operators and starting daemons receive. */
	private static final long SNAPSHOT_INTERVAL_NANOS = 500_000_000L;

	private volatile List<CrashReport> reports = List.of();

	private volatile List<SuspectedRequest> gossipSample = List.of();

	private volatile List<SuspectedRequest> knownSuspects = List.of();

	private volatile boolean sampleTaken;

	private volatile Consumer<List<SuspectedRequest>> broadcaster = (requests) -> {
	};

	private final Predicate<TrafficMessage> inbox;

	private Set<String> quarantined = Set.of();

	private long snapshotAtNanos = System.nanoTime();

	/**
	 * Creates a monitor without reports.
	 * @param inbox offers a message to the traffic duty; returns false if its ring is
	 * full
	 */
	CrashMonitor(Predicate<TrafficMessage> inbox) {
		this.inbox = inbox;
	}

	/**
	 * Reports the crash of a target. The report is dropped if the traffic duty's ring is
	 * full: the next copy of the crashing request causes another one.
	 * @param crash the target, and the requests that it was running for this daemon
	 */
	public void onCrash(TargetCrash crash) {
		this.inbox.test(new TrafficMessage.TargetCrashed(crash));
	}

	/**
	 * Merges reports of another daemon. They are dropped if the traffic duty's ring is
	 * full; a later heartbeat repeats them.
	 * @param requests the requests that were running when targets crashed
	 */
	public void onPeerReports(List<SuspectedRequest> requests) {
		this.inbox.test(new TrafficMessage.PeerSuspectsReceived(requests));
	}

	/**
	 * Sets the receiver of reports that are to be broadcast to all other daemons at once.
	 * Must be called before the start.
	 * @param receiver receives the suspected requests; must not block
	 */
	public void setBroadcaster(Consumer<List<SuspectedRequest>> receiver) {
		this.broadcaster = receiver;
	}

	/**
	 * Records the crash of a target in the core.
	 * @param nowNanos the monotonic time
	 * @param crash the target
	 * @param core the core
	 * @return whether this brought a request into quarantine
	 */
	boolean applyCrash(long nowNanos, TargetCrash crash, TrafficCore core) {
		Events.log(EventId.TARGET_CRASHED, "target", crash.targetId(), "beginning", crash.startingFingerprints().size(),
				"under_way", crash.inProgressFingerprints().size());
		final boolean quarantinedMore = !core.targetCrashes().onCrash(nowNanos, crash).isEmpty();
		takeSnapshot(nowNanos, core);
		sendReports(nowNanos, core);
		return quarantinedMore;
	}

	/**
	 * Merges reports of another daemon into the core.
	 * @param nowNanos the monotonic time
	 * @param reported the requests that were running when targets crashed
	 * @param core the core
	 * @return whether this brought a request into quarantine
	 */
	boolean applyPeerReports(long nowNanos, List<SuspectedRequest> reported, TrafficCore core) {
		final boolean quarantinedMore = !core.targetCrashes().onPeerReports(nowNanos, reported).isEmpty();
		if (quarantinedMore) {
			takeSnapshot(nowNanos, core);
		}
		return quarantinedMore;
	}

	/**
	 * Sends the reports that are due and renews the exposed ones if they are too old.
	 * @param nowNanos the monotonic time
	 * @param core the core
	 */
	void refresh(long nowNanos, TrafficCore core) {
		sendReports(nowNanos, core);
		if (nowNanos - this.snapshotAtNanos >= SNAPSHOT_INTERVAL_NANOS) {
			takeSnapshot(nowNanos, core);
		}
	}

	private void sendReports(long nowNanos, TrafficCore core) {
		final List<SuspectedRequest> due = core.targetCrashes().drainBroadcast(nowNanos);
		if (!due.isEmpty()) {
			this.broadcaster.accept(due);
		}
		if (this.sampleTaken || this.gossipSample.isEmpty()) {
			this.gossipSample = core.targetCrashes().gossipSample(nowNanos);
			this.sampleTaken = false;
		}
	}

	private void takeSnapshot(long nowNanos, TrafficCore core) {
		this.snapshotAtNanos = nowNanos;
		this.reports = core.targetCrashes().reports(nowNanos);
		this.knownSuspects = core.targetCrashes().knownSuspects();
		final Set<String> now = core.targetCrashes().quarantined();
		logChange(now);
		this.quarantined = now;
	}

	private void logChange(Set<String> now) {
		if (now.equals(this.quarantined)) {
			return;
		}
		final Set<String> added = new HashSet<>(now);
		added.removeAll(this.quarantined);
		this.reports.stream()
			.filter((report) -> added.contains(report.fingerprint()))
			.forEach((report) -> Events.log(EventId.REQUEST_QUARANTINED, "kind", report.kind(), "fingerprint",
					report.fingerprint(), "targets", report.targetIds(), "moments", report.crashMoments()));
		this.quarantined.stream()
			.filter((fingerprint) -> !now.contains(fingerprint))
			.forEach((fingerprint) -> Events.log(EventId.QUARANTINE_ENDED, "fingerprint", fingerprint));
	}

	/**
	 * Returns the reports for the next heartbeat. Called by the duty that sends
	 * heartbeats; each call makes the traffic duty choose another sample.
	 * @return a sample of the suspected requests
	 */
	public List<SuspectedRequest> gossipSample() {
		final List<SuspectedRequest> sample = this.gossipSample;
		this.sampleTaken = true;
		return sample;
	}

	/**
	 * Returns the reports to be sent to a daemon that has just started.
	 * @return the suspected requests
	 */
	public List<SuspectedRequest> knownSuspects() {
		return this.knownSuspects;
	}

	/**
	 * Returns the requests that were running when targets crashed, for operators.
	 * @return the requests, and whether each is quarantined
	 */
	public List<CrashReport> reports() {
		return this.reports;
	}

	/**
	 * Returns the number of quarantined requests.
	 * @return the number of requests
	 */
	public int quarantinedCount() {
		return (int) this.reports.stream().filter(CrashReport::quarantined).count();
	}

}
