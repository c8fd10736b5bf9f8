package org.pistachioline.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Holds each workspace to its request rate and its tokens in flight.
 * <p>
 * Made for a workspace that floods: without the limits its work would fill every queue
 * and every slot. The rate allows a burst of two seconds, so that a page that sends a
 * handful of requests at once is not refused. This daemon's share of a limit is set from
 * outside. A request that is larger than this daemon's share, or than the whole limit, is
 * admitted while the workspace has nothing else in flight here: it would otherwise be
 * refused for ever. So a limit of tokens is passed by one request a daemon at most.
 */
public final class WorkspaceLimits implements AdmissionPolicy {

	private static final double BURST_SECONDS = 2;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long TOKENS_RETRY_MILLIS = 1_000;

	private static final double DEMAND_WINDOW_SECONDS = 2;

	private final Map<String, Usage> usages = new HashMap<>();

	@Override
	public void configure(long nowNanos, Manifest manifest) {
		final Map<String, Usage> next = new HashMap<>();
		for (final WorkspaceSpec workspace : manifest.workspaces()) {
			final Usage usage = this.usages.getOrDefault(workspace.name(), new Usage());
			usage.setLimits(nowNanos, workspace);
			next.put(workspace.name(), usage);
		}
		this.usages.clear();
		this.usages.putAll(next);
	}

	@Override
	public void updateShares(long nowNanos, Map<String, Double> shareRatios) {
		this.usages.forEach((name, usage) -> usage.setShare(nowNanos, shareRatios.getOrDefault(name, 1.0)));
	}

	@Override
	public Optional<Refusal> admit(long nowNanos, RequestInfo info) {
		final Usage usage = this.usages.get(info.workspace());
		if (usage == null) {
			return Optional.of(new Refusal(ErrorKind.FORBIDDEN, 0));
		}
		return usage.admit(nowNanos, info);
	}

	@Override
	public void release(long nowNanos, RequestInfo info) {
		final Usage usage = this.usages.get(info.workspace());
		if (usage != null) {
			usage.tokensInFlight = Math.max(0, usage.tokensInFlight - info.costTokens());
		}
	}

	@Override
	public Map<String, Double> demand(long nowNanos) {
		final Map<String, Double> demand = new HashMap<>();
		this.usages.forEach((name, usage) -> demand.put(name, usage.demand(nowNanos)));
		return demand;
	}

	private static final class Usage {

		private double ratePerSecond;

		private double shareRatio = 1;

		private double credit;

		private long refilledAtNanos;

		private long maxTokensInFlight;

		private long tokensInFlight;

		private double decayedArrivals;

		private long arrivalsAtNanos;

		void setLimits(long nowNanos, WorkspaceSpec workspace) {
			final boolean fresh = this.ratePerSecond == 0;
			this.ratePerSecond = workspace.requestsPerSecond();
			this.maxTokensInFlight = workspace.tokensInFlight();
			if (fresh) {
				this.credit = maxCredit();
				this.refilledAtNanos = nowNanos;
			}
		}

		void setShare(long nowNanos, double ratio) {
			refill(nowNanos);
			this.shareRatio = ratio;
			this.credit = Math.min(this.credit, maxCredit());
		}

		private double rate() {
			return this.ratePerSecond * this.shareRatio;
		}

		private double maxCredit() {
			return Math.max(1, rate() * BURST_SECONDS);
		}

		private void refill(long nowNanos) {
			final double earned = (nowNanos - this.refilledAtNanos) / NANOS_PER_SECOND * rate();
			this.credit = Math.min(maxCredit(), this.credit + earned);
			this.refilledAtNanos = nowNanos;
		}

		double demand(long nowNanos) {
			final double seconds = (nowNanos - this.arrivalsAtNanos) / NANOS_PER_SECOND;
			return this.decayedArrivals * Math.exp(-seconds / DEMAND_WINDOW_SECONDS) / DEMAND_WINDOW_SECONDS;
		}

		Optional<Refusal> admit(long nowNanos, RequestInfo info) {
			this.decayedArrivals = demand(nowNanos) * DEMAND_WINDOW_SECONDS + 1;
			this.arrivalsAtNanos = nowNanos;
			refill(nowNanos);
			if (this.credit < 1) {
				final long waitMillis = (long) Math.ceil((1 - this.credit) / rate() * 1_000);
				return Optional.of(new Refusal(ErrorKind.RATE_LIMITED, waitMillis));
			}
			final double most = this.maxTokensInFlight * this.shareRatio;
			if (this.tokensInFlight > 0 && this.tokensInFlight + info.costTokens() > most) {
				return Optional.of(new Refusal(ErrorKind.TOKENS_LIMITED, TOKENS_RETRY_MILLIS));
			}
			this.credit -= 1;
			this.tokensInFlight += info.costTokens();
			return Optional.empty();
		}

	}

}
