package org.pistachioline.daemon.traffic;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.quarantine.DeathReport;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.core.quarantine.TargetCrash;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.event.Events;

/**
 * Tells the core and other daemons of requests under which targets died, and shows them.
 */
final class CrashWatch {

	private volatile List<DeathReport> reports = List.of();

	private volatile List<SuspectedRequest> sample = List.of();

	private volatile List<SuspectedRequest> known = List.of();

	private volatile boolean sampled;

	private volatile Consumer<List<SuspectedRequest>> peers = (news) -> {
	};

	private Set<String> quarantined = Set.of();

	void onNews(Consumer<List<SuspectedRequest>> receiver) {
		this.peers = receiver;
	}

	void hear(long nowNanos, TargetCrash crash, TrafficCore core) {
		Events.log(EventId.TARGET_DIED, "target", crash.targetId(), "beginning", crash.beginning().size(), "under_way",
				crash.underWay().size());
		core.crashed().hear(nowNanos, crash);
		renew(nowNanos, core);
	}

	void hearFromPeer(long nowNanos, List<SuspectedRequest> told, TrafficCore core) {
		core.crashed().hearFromPeer(nowNanos, told);
		renew(nowNanos, core);
	}

	/**
	 * Shows what the core knows now, and tells the other daemons what they do not.
	 * @param nowNanos the monotonic time
	 * @param core the core
	 */
	void renew(long nowNanos, TrafficCore core) {
		this.reports = core.crashed().reports(nowNanos);
		this.known = core.crashed().known();
		final Set<String> now = core.crashed().quarantined();
		logChange(now);
		this.quarantined = now;
		final List<SuspectedRequest> news = core.crashed().takeNews(nowNanos);
		if (!news.isEmpty()) {
			this.peers.accept(news);
		}
		if (this.sampled || this.sample.isEmpty()) {
			this.sample = core.crashed().sample(nowNanos);
			this.sampled = false;
		}
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
			.forEach((fingerprint) -> Events.log(EventId.REQUEST_RELEASED, "fingerprint", fingerprint));
	}

	/**
	 * Returns what the next heartbeat tells; called by the duty that sends heartbeats.
	 * @return some requests
	 */
	List<SuspectedRequest> sample() {
		final List<SuspectedRequest> told = this.sample;
		this.sampled = true;
		return told;
	}

	/**
	 * Returns what a daemon is told that has just started.
	 * @return the requests
	 */
	List<SuspectedRequest> known() {
		return this.known;
	}

	List<DeathReport> reports() {
		return this.reports;
	}

	int quarantinedCount() {
		return (int) this.reports.stream().filter(DeathReport::quarantined).count();
	}

}
