package org.pistachioline.core.cold;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.placement.LiveDaemons;
import org.pistachioline.core.route.ColdStart;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;

/**
 * The instances that have not warmed up, as far as this daemon has heard.
 * <p>
 * The instance list, an instance's response, a crash or another daemon may each tell of a
 * cold instance first; the latest end counts. Instances of services that declare no cold
 * start are ignored.
 */
public final class ColdRegistry {

	/**
	 * Error bound of times received from peers; without it, a time that daemons pass
	 * around would grow by the delay of each frame.
	 */
	private static final long PEER_TIME_ERROR_NANOS = 500_000_000L;

	/**
	 * Time for which the end of a cold time is retained, so that late word is ignored.
	 */
	private static final long RETENTION_NANOS = 10_000_000_000L;

	/** The longest time for which an instance counts as cold without new word. */
	private static final long MAX_COLD_NANOS = 600_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** Bounds the instances of which only peers have told. */
	private static final int MAX_INSTANCES = 4_096;

	private final Map<String, ColdPace> paces = new HashMap<>();

	private final KnownDaemons daemons = new KnownDaemons();

	private Map<String, ColdStart> coldStarts = Map.of();

	private Map<String, ColdStart> coldStartById = Map.of();

	private List<TargetView> targets = List.of();

	private boolean mayUsePermits;

	/**
	 * Declares that the fleet has other daemons.
	 */
	public void expectPeers() {
		this.daemons.expectPeers();
	}

	/**
	 * Returns the schedule of an instance.
	 * @param instanceId the instance
	 * @return its schedule, which is inactive unless the instance is cold
	 */
	public ColdPace getOrCreate(String instanceId) {
		return this.paces.computeIfAbsent(instanceId, ColdPace::new);
	}

	/**
	 * Applies the configuration.
	 * @param nowNanos the monotonic time
	 * @param byService how cold instances behave, by the name of their service
	 */
	public void configure(long nowNanos, Map<String, ColdStart> byService) {
		this.coldStarts = Map.copyOf(byService);
		onTargets(nowNanos, this.targets);
	}

	/**
	 * Applies the known targets. A target that becomes known while it is cold is paced
	 * from its first request on.
	 * @param nowNanos the monotonic time
	 * @param views all targets
	 */
	public void onTargets(long nowNanos, Collection<TargetView> views) {
		this.targets = List.copyOf(views);
		if (this.coldStarts.isEmpty() && this.coldStartById.isEmpty()) {
			return;
		}
		final Map<String, ColdStart> byId = new HashMap<>();
		for (final TargetView view : views) {
			coldStartOf(view).ifPresent((coldStart) -> byId.put(view.instanceId(), coldStart));
		}
		final Set<String> added = new HashSet<>(byId.keySet());
		added.removeAll(this.coldStartById.keySet());
		this.coldStartById = byId;
		this.paces.forEach((id, pace) -> activate(nowNanos, id, pace, !added.contains(id)));
	}

	private Optional<ColdStart> coldStartOf(TargetView view) {
		if (view.kind() == TargetKind.SERVICE) {
			return Optional.ofNullable(this.coldStarts.get(view.name()));
		}
		return this.coldStarts.entrySet()
			.stream()
			.filter((entry) -> view.name().startsWith(entry.getKey() + '/'))
			.map(Map.Entry::getValue)
			.findFirst();
	}

	private void activate(long nowNanos, String instanceId, ColdPace pace, boolean wasInUse) {
		final ColdStart coldStart = this.coldStartById.get(instanceId);
		if (coldStart != null && pace.isKnown() && nowNanos - pace.untilNanos() < 0) {
			pace.activate(nowNanos, coldStart.requestsPerSecond(), wasInUse);
			pace.allocate(this.daemons.daemons(), this.mayUsePermits);
		}
		else if (coldStart == null && pace.isActive()) {
			pace.deactivate();
		}
	}

	/**
	 * Records instances that this daemon itself found to be cold.
	 * @param nowNanos the monotonic time
	 * @param found the instances
	 * @return those that are news for other daemons
	 */
	public List<ColdTarget> onFound(long nowNanos, List<ColdTarget> found) {
		return found.stream()
			.filter((target) -> record(nowNanos, target) > PEER_TIME_ERROR_NANOS)
			.filter((target) -> getOrCreate(target.instanceId()).isActive())
			.toList();
	}

	/**
	 * Records instances that another daemon found to be cold.
	 * @param nowNanos the monotonic time
	 * @param told the instances
	 * @return those that this daemon did not know to be cold
	 */
	public List<ColdTarget> onPeerTargets(long nowNanos, List<ColdTarget> told) {
		final List<ColdTarget> news = new ArrayList<>();
		for (final ColdTarget target : told) {
			final ColdPace known = this.paces.get(target.instanceId());
			final boolean isNews = known == null || !known.isKnown()
					|| target.coldUntilNanos() - known.untilNanos() > PEER_TIME_ERROR_NANOS;
			if (isNews && (known != null || this.paces.size() < MAX_INSTANCES) && record(nowNanos, target) > 0) {
				news.add(target);
			}
		}
		return news;
	}

	private long record(long nowNanos, ColdTarget target) {
		final long remainingNanos = Math.min(MAX_COLD_NANOS, target.coldUntilNanos() - nowNanos);
		if (remainingNanos <= 0) {
			return 0;
		}
		final ColdPace pace = getOrCreate(target.instanceId());
		final long extendedNanos = pace.extend(nowNanos + remainingNanos);
		if (extendedNanos > 0) {
			activate(nowNanos, target.instanceId(), pace, true);
		}
		return extendedNanos;
	}

	/**
	 * Records that an instance crashed. What answers at its address next has just
	 * started.
	 * @param nowNanos the monotonic time
	 * @param instanceId the instance
	 * @return the instance, if that is news for other daemons
	 */
	public List<ColdTarget> onCrash(long nowNanos, String instanceId) {
		final ColdStart coldStart = this.coldStartById.get(instanceId);
		return (coldStart != null)
				? onFound(nowNanos,
						List.of(new ColdTarget(instanceId, nowNanos + coldStart.durationMillis() * NANOS_PER_MILLI)))
				: List.of();
	}

	/**
	 * Applies the daemons that are known at present.
	 * @param nowNanos the monotonic time
	 * @param live the live daemons that are not leaving
	 */
	public void onLiveDaemons(long nowNanos, LiveDaemons live) {
		allocateIf(nowNanos, this.daemons.onLiveDaemons(nowNanos, live));
	}

	/**
	 * Applies the daemons that announced that they are leaving.
	 * @param nowNanos the monotonic time
	 * @param leavingIds the leaving daemons, possibly this one
	 */
	public void onLeavingDaemons(long nowNanos, Set<String> leavingIds) {
		allocateIf(nowNanos, this.daemons.onLeavingDaemons(nowNanos, leavingIds));
	}

	private void allocateIf(long nowNanos, boolean daemonsChanged) {
		final boolean mayUse = this.daemons.mayUsePermits(nowNanos);
		if (daemonsChanged || mayUse != this.mayUsePermits) {
			this.mayUsePermits = mayUse;
			this.paces.values().forEach((pace) -> pace.allocate(this.daemons.daemons(), mayUse));
		}
	}

	/**
	 * Ends the cold times that are over.
	 * @param nowNanos the monotonic time
	 * @return the instances that are no longer cold
	 */
	public List<String> onTick(long nowNanos) {
		if (this.paces.isEmpty()) {
			return List.of();
		}
		allocateIf(nowNanos, false);
		final List<String> warm = new ArrayList<>();
		this.paces.forEach((id, pace) -> {
			if (pace.endIfWarm(nowNanos)) {
				warm.add(id);
			}
			if (pace.isKnown() && nowNanos - pace.untilNanos() > RETENTION_NANOS) {
				pace.forget();
			}
		});
		return warm;
	}

	/**
	 * Removes the schedules of instances that are neither used nor known to be cold.
	 * @param instanceIds the instances in use
	 */
	public void retain(Set<String> instanceIds) {
		this.paces.entrySet().removeIf((entry) -> !entry.getValue().isKnown() && !instanceIds.contains(entry.getKey()));
	}

	/**
	 * Returns the instances that are cold.
	 * @param nowNanos the monotonic time
	 * @return the instances, those that stay cold longest first
	 */
	public List<ColdTarget> coldTargets(long nowNanos) {
		return this.paces.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isActive() && nowNanos - entry.getValue().untilNanos() < 0)
			.map((entry) -> new ColdTarget(entry.getKey(), entry.getValue().untilNanos()))
			.sorted((first, second) -> Long.compare(second.coldUntilNanos() - first.coldUntilNanos(), 0))
			.toList();
	}

	/**
	 * Returns the cold instances, as shown to operators.
	 * @param nowNanos the monotonic time
	 * @return the reports
	 */
	public List<ColdReport> reports(long nowNanos) {
		return this.paces.values().stream().filter(ColdPace::isActive).map((pace) -> pace.report(nowNanos)).toList();
	}

}
