package org.pistachioline.daemon.traffic;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.quarantine.DeathReport;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.core.quarantine.TargetCrash;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.event.Events;

/**
 * Tells the core and other daemons of requests under which targets died, and shows them.
 */
public final class CrashWatch {

	/** How old may be what operators and daemons that start are shown. */
	private static final long SHOWN_NANOS = 500_000_000L;

	private volatile List<DeathReport> reports = List.of();

	private volatile List<SuspectedRequest> sample = List.of();

	private volatile List<SuspectedRequest> known = List.of();

	private volatile boolean sampled;

	private volatile Consumer<List<SuspectedRequest>> peers = (news) -> {
	};

	private final Predicate<TrafficMessage> duty;

	private Set<String> quarantined = Set.of();

	private long shownAtNanos = System.nanoTime();

	/**
	 * Creates a watch.
	 * @param duty takes what other threads tell, unless it has no room
	 */
	CrashWatch(Predicate<TrafficMessage> duty) {
		this.duty = duty;
	}

	/**
	 * Takes word that a target has died. Where there is no room it is lost, as the next
	 * copy of what crashed it makes another.
	 * @param crash the target, and what it was running for this daemon
	 */
	public void onCrash(TargetCrash crash) {
		this.duty.test(new TrafficMessage.TargetCrashed(crash));
	}

	/**
	 * Takes what another daemon told; where there is no room a later heartbeat brings it.
	 * @param requests the requests under which targets died
	 */
	public void onTold(List<SuspectedRequest> requests) {
		this.duty.test(new TrafficMessage.SuspectedTold(requests));
	}

	/**
	 * Sets what tells all other daemons at once; called before the start.
	 * @param receiver takes the requests; it must not block
	 */
	public void onNews(Consumer<List<SuspectedRequest>> receiver) {
		this.peers = receiver;
	}

	/**
	 * Tells the core of a target that has died.
	 * @param nowNanos the monotonic time
	 * @param crash the target
	 * @param core the core
	 * @return whether a request is quarantined since
	 */
	boolean hear(long nowNanos, TargetCrash crash, TrafficCore core) {
		Events.log(EventId.TARGET_CRASHED, "target", crash.targetId(), "beginning", crash.beginning().size(),
				"under_way", crash.underWay().size());
		final boolean news = !core.targetCrashes().onCrash(nowNanos, crash).isEmpty();
		show(nowNanos, core);
		tell(nowNanos, core);
		return news;
	}

	/**
	 * Tells the core what another daemon told.
	 * @param nowNanos the monotonic time
	 * @param told the requests under which targets died
	 * @param core the core
	 * @return whether a request is quarantined since
	 */
	boolean hearFromPeer(long nowNanos, List<SuspectedRequest> told, TrafficCore core) {
		final boolean news = !core.targetCrashes().onPeerReports(nowNanos, told).isEmpty();
		if (news) {
			show(nowNanos, core);
		}
		return news;
	}

	/**
	 * Lets time pass.
	 * @param nowNanos the monotonic time
	 * @param core the core
	 */
	void renew(long nowNanos, TrafficCore core) {
		tell(nowNanos, core);
		if (nowNanos - this.shownAtNanos >= SHOWN_NANOS) {
			show(nowNanos, core);
		}
	}

	private void tell(long nowNanos, TrafficCore core) {
		final List<SuspectedRequest> news = core.targetCrashes().drainBroadcast(nowNanos);
		if (!news.isEmpty()) {
			this.peers.accept(news);
		}
		if (this.sampled || this.sample.isEmpty()) {
			this.sample = core.targetCrashes().gossipSample(nowNanos);
			this.sampled = false;
		}
	}

	private void show(long nowNanos, TrafficCore core) {
		this.shownAtNanos = nowNanos;
		this.reports = core.targetCrashes().reports(nowNanos);
		this.known = core.targetCrashes().knownSuspects();
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
	public List<SuspectedRequest> sample() {
		final List<SuspectedRequest> told = this.sample;
		this.sampled = true;
		return told;
	}

	/**
	 * Returns what a daemon is told that has just started.
	 * @return the requests
	 */
	public List<SuspectedRequest> known() {
		return this.known;
	}

	/**
	 * Returns the requests under which targets died.
	 * @return the requests, and which of them are quarantined
	 */
	public List<DeathReport> reports() {
		return this.reports;
	}

	/**
	 * Returns how many requests are quarantined.
	 * @return the number of requests
	 */
	public int quarantinedCount() {
		return (int) this.reports.stream().filter(DeathReport::quarantined).count();
	}

}
