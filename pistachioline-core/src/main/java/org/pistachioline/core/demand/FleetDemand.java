package org.pistachioline.core.demand;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Estimates the demand of the whole fleet by averaging.
 * <p>
 * Each daemon holds an estimate of the mean demand of a daemon. Its own arrivals move the
 * estimate slowly, and each estimate that it hears moves it most of the way there. The
 * mean over all daemons therefore follows the mean demand, and all estimates are close to
 * that mean, whatever the number of daemons. A lost or an old estimate leaves no error
 * behind. A daemon that has just started takes over the first estimate that it hears.
 */
public final class FleetDemand {

	/** The bound on kinds of demand in an estimate. */
	public static final int MAX_KINDS = 32;

	/** The bound on workspaces in an estimate. */
	public static final int MAX_WORKSPACES = 64;

	private static final double NANOS_PER_SECOND = 1e9;

	/** The time constant of this daemon's own rates. */
	private static final double OWN_WINDOW_SECONDS = 0.7;

	/**
	 * The time constant with which the estimate follows the own rates. It is longer,
	 * because with a hundred daemons one request would otherwise seem to be a hundred.
	 */
	private static final double MEAN_WINDOW_SECONDS = 1.4;

	private static final long MIN_STEP_NANOS = 50_000_000L;

	/** The part of the way that a peer's estimate moves this one. */
	private static final double HEARD_WEIGHT = 0.7;

	private static final double COST_SAMPLE_WEIGHT = 0.05;

	private final DecayingRates<DemandKey, DemandRates> ownKinds = kinds();

	private final DecayingRates<DemandKey, DemandRates> meanKinds = kinds();

	private final DecayingRates<WorkspaceKey, Double> ownWorkspaces = workspaces();

	private final DecayingRates<WorkspaceKey, Double> meanWorkspaces = workspaces();

	private final long startedAtNanos;

	private long steppedAtNanos;

	private boolean heardAny;

	private long rejectedCount;

	private final Map<DemandKey, Double> meanCosts = new RecentEntries<>(MAX_KINDS);

	/**
	 * Creates the demand of a daemon that knows nothing.
	 * @param nowNanos the monotonic time
	 */
	public FleetDemand(long nowNanos) {
		this.startedAtNanos = nowNanos;
		this.steppedAtNanos = nowNanos;
	}

	private static DecayingRates<DemandKey, DemandRates> kinds() {
		return new DecayingRates<>(MAX_KINDS, DemandRates::plus, DemandRates::times, DemandRates::requestsPerSecond);
	}

	private static DecayingRates<WorkspaceKey, Double> workspaces() {
		return new DecayingRates<>(MAX_WORKSPACES, Double::sum, (rate, factor) -> rate * factor, (rate) -> rate);
	}

	/**
	 * Counts a request that arrives.
	 * @param nowNanos the monotonic time
	 * @param key the kind of request
	 * @param workspace the caller's workspace
	 * @param cost the work that it asks for, in tokens or requests
	 * @param late whether it cannot be answered on time any more
	 */
	public void onArrival(long nowNanos, DemandKey key, String workspace, double cost, boolean late) {
		advance(nowNanos);
		final double meanCost = meanCost(key, cost);
		this.ownKinds.add(key, new DemandRates(1, 0, late ? 1 : 0, meanCost).times(1 / OWN_WINDOW_SECONDS));
		this.ownWorkspaces.add(new WorkspaceKey(workspace, key.name()), meanCost / OWN_WINDOW_SECONDS);
	}

	// The sizes of single requests would be most of the noise in the cost of a kind.
	private double meanCost(DemandKey key, double cost) {
		return this.meanCosts.merge(key, cost, (mean, sample) -> mean + COST_SAMPLE_WEIGHT * (sample - mean));
	}

	/**
	 * Counts the refusal of a request that has arrived.
	 * @param nowNanos the monotonic time
	 * @param key the kind of request
	 */
	public void onRefused(long nowNanos, DemandKey key) {
		advance(nowNanos);
		this.ownKinds.add(key, new DemandRates(0, 1, 0, 0).times(1 / OWN_WINDOW_SECONDS));
	}

	/**
	 * Moves this daemon's estimate towards that of a peer.
	 * @param nowNanos the monotonic time
	 * @param heard the peer's estimate
	 * @return whether the estimate is used; false if it has too many entries or a rate
	 * that is impossible, and for an empty one
	 */
	public boolean onPeerEstimate(long nowNanos, DemandEstimate heard) {
		if (!isValid(heard)) {
			this.rejectedCount++;
			return false;
		}
		if (heard.rates().isEmpty()) {
			return false;
		}
		advance(nowNanos);
		final boolean starting = !this.heardAny
				&& nowNanos - this.startedAtNanos < MEAN_WINDOW_SECONDS * NANOS_PER_SECOND;
		this.heardAny = true;
		final double weight = starting ? 1 : HEARD_WEIGHT;
		this.meanKinds.combine(1 - weight, heard.rates(), weight);
		// A peer leaves out the workspaces of a name while they do not compete there.
		final Set<String> names = heard.workspaceCosts()
			.keySet()
			.stream()
			.map(WorkspaceKey::name)
			.collect(Collectors.toSet());
		final Map<WorkspaceKey, Double> workspaces = new HashMap<>(this.meanWorkspaces.view());
		workspaces.keySet().removeIf((key) -> names.contains(key.name()));
		workspaces.putAll(heard.workspaceCosts());
		this.meanWorkspaces.combine(1 - weight, workspaces, weight);
		return true;
	}

	private static boolean isValid(DemandEstimate heard) {
		return heard.rates().size() <= MAX_KINDS && heard.workspaceCosts().size() <= MAX_WORKSPACES
				&& heard.rates().values().stream().allMatch(DemandRates::isValid)
				&& heard.workspaceCosts().values().stream().allMatch(DemandRates::isValid);
	}

	private void advance(long nowNanos) {
		final long elapsedNanos = nowNanos - this.steppedAtNanos;
		if (elapsedNanos < MIN_STEP_NANOS) {
			return;
		}
		this.steppedAtNanos = nowNanos;
		final double kept = Math.exp(-elapsedNanos / (OWN_WINDOW_SECONDS * NANOS_PER_SECOND));
		final double meanKept = Math.exp(-elapsedNanos / (MEAN_WINDOW_SECONDS * NANOS_PER_SECOND));
		// The exact result of following own rates that decay meanwhile, since steps may
		// be long where few requests arrive.
		final double gained = (meanKept - kept) * OWN_WINDOW_SECONDS / (MEAN_WINDOW_SECONDS - OWN_WINDOW_SECONDS);
		this.meanKinds.combine(meanKept, this.ownKinds.view(), gained);
		this.meanWorkspaces.combine(meanKept, this.ownWorkspaces.view(), gained);
		this.ownKinds.scale(kept);
		this.ownWorkspaces.scale(kept);
	}

	/**
	 * Returns the estimated mean demand of a daemon, to be sent to peers.
	 * @param nowNanos the monotonic time
	 * @param competes whether workspaces compete for a model or service, so that their
	 * demand is part of the estimate
	 * @return the estimate
	 */
	public DemandEstimate estimate(long nowNanos, Predicate<String> competes) {
		advance(nowNanos);
		final Map<WorkspaceKey, Double> competing = new HashMap<>(this.meanWorkspaces.view());
		competing.keySet().removeIf((key) -> !competes.test(key.name()));
		return new DemandEstimate(this.meanKinds.view(), competing);
	}

	/**
	 * Returns the estimated mean demand of a daemon for all kinds of request.
	 * @param nowNanos the monotonic time
	 * @return a view, which changes with the next call
	 */
	public Map<DemandKey, DemandRates> meanRates(long nowNanos) {
		advance(nowNanos);
		return this.meanKinds.view();
	}

	/**
	 * Returns the estimated mean work that workspaces ask of a daemon.
	 * @param name the model's or the service's name
	 * @return the cost per second, by workspace
	 */
	public Map<String, Double> meanWorkspaceCosts(String name) {
		final Map<String, Double> costs = new HashMap<>();
		this.meanWorkspaces.view().forEach((key, cost) -> {
			if (key.name().equals(name)) {
				costs.put(key.workspace(), cost);
			}
		});
		return costs;
	}

	/**
	 * Returns the number of estimates of peers that were not used, since they were
	 * impossible.
	 * @return the number of estimates
	 */
	public long rejectedCount() {
		return this.rejectedCount;
	}

}
