package org.pistachioline.daemon.traffic;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.pistachioline.core.cold.ColdListing;
import org.pistachioline.core.cold.ColdReport;
import org.pistachioline.core.cold.ColdTarget;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.event.Events;

/**
 * Passes word of cold targets to the traffic core and to other daemons, and exposes the
 * cold targets to other threads.
 */
public final class ColdMonitor {

	private final Predicate<TrafficMessage> inbox;

	private volatile Consumer<List<ColdTarget>> broadcaster = (targets) -> {
	};

	private volatile Supplier<Set<String>> leavingDaemons = Set::of;

	private final ColdListing listing = new ColdListing();

	private volatile boolean expectsPeers;

	private volatile List<ColdTarget> coldTargets = List.of();

	private volatile List<ColdReport> reports = List.of();

	/**
	 * Creates a monitor without cold targets.
	 * @param inbox offers a message to the traffic duty; returns false if its ring is
	 * full
	 */
	ColdMonitor(Predicate<TrafficMessage> inbox) {
		this.inbox = inbox;
	}

	/**
	 * Sets the receiver of targets that other daemons are to be told of at once. Must be
	 * called before the start.
	 * @param receiver receives the targets; must not block
	 */
	public void setBroadcaster(Consumer<List<ColdTarget>> receiver) {
		this.broadcaster = receiver;
	}

	/**
	 * Sets the source of the daemons that are leaving, this one included. Must be called
	 * before the start.
	 * @param source supplies the ids; must not block
	 */
	public void setLeavingDaemons(Supplier<Set<String>> source) {
		this.leavingDaemons = source;
	}

	/**
	 * Declares that the fleet has other daemons, so that this one sends cold targets
	 * nothing until it has met some of them. Must be called before the start.
	 */
	public void expectPeers() {
		this.expectsPeers = true;
	}

	/**
	 * Applies the instance list. All calls must come from one thread.
	 * @param table the configuration in force
	 * @param instances all listed instances
	 * @param tellPeers whether other daemons are told at once of those that are cold
	 */
	public void onInstances(RouteTable table, List<ServingInstance> instances, boolean tellPeers) {
		onFound(this.listing.onInstances(System.nanoTime(), table, instances), tellPeers);
	}

	/**
	 * Reports targets that are cold. The report is dropped if the traffic duty's ring is
	 * full; a peer's heartbeat then tells of them.
	 * @param targets the targets
	 * @param tellPeers whether other daemons are told at once
	 */
	public void onFound(List<ColdTarget> targets, boolean tellPeers) {
		if (!targets.isEmpty()) {
			this.inbox.test(new TrafficMessage.ColdTargetsFound(targets, tellPeers));
		}
	}

	/**
	 * Merges what another daemon knows. It is dropped if the traffic duty's ring is full;
	 * a later heartbeat repeats it.
	 * @param targets the targets
	 */
	public void onPeerTargets(List<ColdTarget> targets) {
		this.inbox.test(new TrafficMessage.PeerColdTargetsReceived(targets));
	}

	/**
	 * Returns the targets to tell other daemons of.
	 * @return the cold targets, those that stay cold longest first
	 */
	public List<ColdTarget> coldTargets() {
		return this.coldTargets;
	}

	/**
	 * Lists the cold targets, for operators.
	 * @return the targets, and the number of attempts of this daemon at each
	 */
	public List<ColdReport> reports() {
		return this.reports;
	}

	boolean apply(long nowNanos, TrafficMessage.ColdStartsChanged changed, TrafficCore core) {
		core.targetColdness().configure(nowNanos, changed.byService());
		return true;
	}

	boolean apply(long nowNanos, TrafficMessage.ColdTargetsFound found, TrafficCore core) {
		return tell(nowNanos, core.targetColdness().onFound(nowNanos, found.targets()), found.tellPeers(), core);
	}

	boolean apply(long nowNanos, TrafficMessage.PeerColdTargetsReceived received, TrafficCore core) {
		final List<ColdTarget> news = core.targetColdness().onPeerTargets(nowNanos, received.targets());
		logCold(nowNanos, news, true);
		return applied(nowNanos, news, core);
	}

	void applyCrash(long nowNanos, String instanceId, TrafficCore core) {
		tell(nowNanos, core.targetColdness().onCrash(nowNanos, instanceId), true, core);
	}

	private boolean tell(long nowNanos, List<ColdTarget> news, boolean tellPeers, TrafficCore core) {
		logCold(nowNanos, news, false);
		if (tellPeers && !news.isEmpty()) {
			this.broadcaster.accept(news);
		}
		return applied(nowNanos, news, core);
	}

	private boolean applied(long nowNanos, List<ColdTarget> news, TrafficCore core) {
		if (!news.isEmpty()) {
			takeSnapshot(nowNanos, core);
		}
		return !news.isEmpty();
	}

	private static void logCold(long nowNanos, List<ColdTarget> news, boolean toldByPeer) {
		news.forEach((target) -> Events.log(EventId.TARGET_COLD, "instance", target.instanceId(), "for_millis",
				TimeUnit.NANOSECONDS.toMillis(target.coldUntilNanos() - nowNanos), "told_by_peer", toldByPeer));
	}

	void refresh(long nowNanos, TrafficCore core) {
		if (this.expectsPeers) {
			core.targetColdness().expectPeers();
		}
		core.targetColdness().onLeavingDaemons(nowNanos, this.leavingDaemons.get());
		core.targetColdness()
			.onTick(nowNanos)
			.forEach((instanceId) -> Events.log(EventId.TARGET_WARM, "instance", instanceId));
		takeSnapshot(nowNanos, core);
	}

	private void takeSnapshot(long nowNanos, TrafficCore core) {
		this.coldTargets = core.targetColdness().coldTargets(nowNanos);
		this.reports = core.targetColdness().reports(nowNanos);
	}

}
