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
 * outside.
 */
public final class WorkspaceLimits implements AdmissionPolicy {

	private static final double BURST_SECONDS = 2;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long TOKENS_RETRY_MILLIS = 1_000;

	private final Map<String, Usage> usages = new HashMap<>();

	@Override
	public void configure(long nowNanos, Manifest manifest) {
		final Map<String, Usage> next = new HashMap<>();
		for (final WorkspaceSpec workspace : manifest.workspaces()) {
			final Usage usage = this.usages.getOrDefault(workspace.name(), new Usage());
			usage.limit(nowNanos, workspace);
			next.put(workspace.name(), usage);
		}
		this.usages.clear();
		this.usages.putAll(next);
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

	private static final class Usage {

		private double ratePerSecond;

		private double credit;

		private long creditedAtNanos;

		private long limitTokens;

		private long tokensInFlight;

		void limit(long nowNanos, WorkspaceSpec workspace) {
			if (this.ratePerSecond == 0) {
				this.credit = Math.max(1, workspace.requestsPerSecond() * BURST_SECONDS);
				this.creditedAtNanos = nowNanos;
			}
			this.ratePerSecond = workspace.requestsPerSecond();
			this.limitTokens = workspace.tokensInFlight();
		}

		Optional<Refusal> admit(long nowNanos, RequestInfo info) {
			final double earned = (nowNanos - this.creditedAtNanos) / NANOS_PER_SECOND * this.ratePerSecond;
			this.credit = Math.min(Math.max(1, this.ratePerSecond * BURST_SECONDS), this.credit + earned);
			this.creditedAtNanos = nowNanos;
			if (this.credit < 1) {
				final long waitMillis = (long) Math.ceil((1 - this.credit) / this.ratePerSecond * 1_000);
				return Optional.of(new Refusal(ErrorKind.RATE_LIMITED, waitMillis));
			}
			if (this.tokensInFlight > 0 && this.tokensInFlight + info.costTokens() > this.limitTokens) {
				return Optional.of(new Refusal(ErrorKind.TOKENS_LIMITED, TOKENS_RETRY_MILLIS));
			}
			this.credit -= 1;
			this.tokensInFlight += info.costTokens();
			return Optional.empty();
		}

	}

}
