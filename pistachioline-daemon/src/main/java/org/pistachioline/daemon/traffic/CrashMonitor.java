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
 * Tells the core and other daemons of requests under which targets died, and shows them.
 */
public final class CrashMonitor {

	/** How old may be what operators and daemons that start are shown. */
	private static final long SNAPSHOT_INTERVAL_NANOS = 500_000_000L;

	private volatile List<CrashReport> reports = List.of();

	private volatile List<SuspectedRequest> gossipSample = List.of();

	private volatile List<SuspectedRequest> knownSuspects = List.of();

	private volatile boolean sampleTaken;

	private volatile Consumer<List<SuspectedRequest>> broadcaster = (news) -> {
	};

	private final Predicate<TrafficMessage> inbox;

	private Set<String> quarantined = Set.of();

	private long snapshotAtNanos = System.nanoTime();

	/**
	 * Creates a watch.
	 * @param duty takes what other threads tell, unless it has no room
	 */
	CrashMonitor(Predicate<TrafficMessage> duty) {
		this.inbox = duty;
	}

	/**
	 * Takes word that a target has died. Where there is no room it is lost, as the next
	 * copy of what crashed it makes another.
	 * @param crash the target, and what it was running for this daemon
	 */
	public void onCrash(TargetCrash crash) {
		this.inbox.test(new TrafficMessage.TargetCrashed(crash));
	}

	/**
	 * Takes what another daemon told; where there is no room a later heartbeat brings it.
	 * @param requests the requests under which targets died
	 */
	public void onPeerReports(List<SuspectedRequest> requests) {
		this.inbox.test(new TrafficMessage.SuspectedTold(requests));
	}

	/**
	 * Sets what tells all other daemons at once; called before the start.
	 * @param receiver takes the requests; it must not block
	 */
	public void setBroadcaster(Consumer<List<SuspectedRequest>> receiver) {
		this.broadcaster = receiver;
	}

	/**
	 * Tells the core of a target that has died.
	 * @param nowNanos the monotonic time
	 * @param crash the target
	 * @param core the core
	 * @return whether a request is quarantined since
	 */
	boolean applyCrash(long nowNanos, TargetCrash crash, TrafficCore core) {
		Events.log(EventId.TARGET_CRASHED, "target", crash.targetId(), "beginning", crash.startingFingerprints().size(),
				"under_way", crash.inProgressFingerprints().size());
		final boolean news = !core.targetCrashes().onCrash(nowNanos, crash).isEmpty();
		takeSnapshot(nowNanos, core);
		sendReports(nowNanos, core);
		return news;
	}

	/**
	 * Tells the core what another daemon told.
	 * @param nowNanos the monotonic time
	 * @param told the requests under which targets died
	 * @param core the core
	 * @return whether a request is quarantined since
	 */
	boolean applyPeerReports(long nowNanos, List<SuspectedRequest> told, TrafficCore core) {
		final boolean news = !core.targetCrashes().onPeerReports(nowNanos, told).isEmpty();
		if (news) {
			takeSnapshot(nowNanos, core);
		}
		return news;
	}

	/**
	 * Lets time pass.
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
		final List<SuspectedRequest> news = core.targetCrashes().drainBroadcast(nowNanos);
		if (!news.isEmpty()) {
			this.broadcaster.accept(news);
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
			.forEach((report) -> Events.log(EventId.REQUEST_QUARANTINED, "fingerprint", report.fingerprint(), "targets",
					report.targetIds()));
		this.quarantined.stream()
			.filter((fingerprint) -> !now.contains(fingerprint))
			.forEach((fingerprint) -> Events.log(EventId.QUARANTINE_ENDED, "fingerprint", fingerprint));
	}

	/**
	 * Returns what the next heartbeat tells; called by the duty that sends heartbeats.
	 * @return some requests
	 */
	public List<SuspectedRequest> gossipSample() {
		final List<SuspectedRequest> told = this.gossipSample;
		this.sampleTaken = true;
		return told;
	}

	/**
	 * Returns what a daemon is told that has just started.
	 * @return the requests
	 */
	public List<SuspectedRequest> knownSuspects() {
		return this.knownSuspects;
	}

	/**
	 * Returns the requests under which targets died.
	 * @return the requests, and which of them are quarantined
	 */
	public List<CrashReport> reports() {
		return this.reports;
	}

	/**
	 * Returns how many requests are quarantined.
	 * @return the number of requests
	 */
	public int quarantinedCount() {
		return (int) this.reports.stream().filter(CrashReport::quarantined).count();
	}

}
