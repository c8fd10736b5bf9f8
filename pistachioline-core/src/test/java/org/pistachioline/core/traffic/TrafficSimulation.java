package org.pistachioline.core.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.pistachioline.core.admission.AdmitAll;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.placement.LeastInFlight;
import org.pistachioline.core.quarantine.QuarantinePolicy;
import org.pistachioline.core.queueing.FifoQueue;
import org.pistachioline.core.retry.BudgetedRetry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates the callers, targets and log of a traffic core in virtual time. It applies
 * each action of the core and asserts the core's invariants at every step.
 */
final class TrafficSimulation {

	static final int SLOTS = 3;

	final TrafficCore core;

	final Map<AttemptId, Attempt> liveAttempts = new LinkedHashMap<>();

	final List<AttemptId> endedAttempts = new ArrayList<>();

	final Map<Long, Request> requests = new LinkedHashMap<>();

	final Map<Long, Request> pendingClaims = new LinkedHashMap<>();

	final Map<Long, Long> heldClaims = new HashMap<>();

	final List<TrafficAction.ReportSuspect> suspectReports = new ArrayList<>();

	long nowNanos;

	TrafficSimulation(QuarantinePolicy quarantine) {
		this(new TrafficPolicies(new AdmitAll(), new FifoQueue(100), new LeastInFlight(), new BudgetedRetry(),
				quarantine));
	}

	TrafficSimulation(TrafficPolicies policies) {
		this.core = new TrafficCore(policies);
	}

	static TargetView model(String targetId, boolean serving) {
		return new TargetView(targetId, TargetKind.MODEL, "m", targetId, 1, "a", serving, SLOTS, 0, 0, 0);
	}

	static TargetView service(String targetId, boolean serving) {
		return new TargetView(targetId, TargetKind.SERVICE, "s", targetId, 0, "a", serving, SLOTS, 0, 0, 0);
	}

	Request arrive(long requestId, TargetKind kind, String fingerprint, boolean keyed) {
		final ClaimRequirement claim = keyed ? new ClaimRequirement("key-" + requestId, "digest", 1_000)
				: ClaimRequirement.NONE;
		final RequestInfo info = new RequestInfo(requestId, "w", kind, (kind == TargetKind.MODEL) ? "m" : "s", 1, 100,
				0, this.nowNanos + 60_000_000_000L, this.nowNanos + 120_000_000_000L, !keyed, claim, fingerprint,
				List.of());
		return arrive(info);
	}

	/**
	 * Submits a request that requires no claim, even if it is not idempotent.
	 * @param requestId its id
	 * @param kind the kind of its target
	 * @param fingerprint its fingerprint
	 * @param idempotent whether it may be sent again
	 * @return the request
	 */
	Request arriveUnclaimed(long requestId, TargetKind kind, String fingerprint, boolean idempotent) {
		return arrive(new RequestInfo(requestId, "w", kind, (kind == TargetKind.MODEL) ? "m" : "s", 1, 100, 0,
				this.nowNanos + 60_000_000_000L, this.nowNanos + 120_000_000_000L, idempotent, ClaimRequirement.NONE,
				fingerprint, List.of(), 3, this.nowNanos + 1_000_000_000L));
	}

	Request arrive(RequestInfo info) {
		final Request request = new Request(info);
		this.requests.put(info.requestId(), request);
		apply(this.core.onRequest(this.nowNanos, info));
		return request;
	}

	void targets(TargetView... views) {
		apply(this.core.onTargets(this.nowNanos, List.of(views)));
	}

	void progress(AttemptId id, int tokens) {
		final Attempt attempt = this.liveAttempts.get(id);
		attempt.request.deliveredTokens += tokens;
		this.core.onProgress(this.nowNanos, id, attempt.request.deliveredTokens);
	}

	void end(AttemptId id, AttemptOutcome outcome) {
		final Attempt attempt = this.liveAttempts.remove(id);
		this.endedAttempts.add(id);
		final boolean withoutOutput = attempt.request.deliveredTokens == attempt.deliveredTokensAtStart;
		final boolean declined = outcome == AttemptOutcome.DECLINED && withoutOutput;
		final boolean unsendable = outcome == AttemptOutcome.UNSENDABLE && withoutOutput;
		if (outcome == AttemptOutcome.NOT_CONNECTED || outcome == AttemptOutcome.WITHHELD || declined || unsendable) {
			attempt.request.possibleRuns--;
		}
		attempt.request.liveAttempt = null;
		apply(this.core.onAttemptEnd(this.nowNanos, id, outcome, attempt.request.deliveredTokens));
	}

	void crashTarget(String targetId) {
		this.liveAttempts.values()
			.stream()
			.filter((attempt) -> attempt.targetId.equals(targetId))
			.map((attempt) -> attempt.id)
			.toList()
			.forEach((id) -> {
				if (this.liveAttempts.containsKey(id)) {
					end(id, AttemptOutcome.BROKEN);
				}
			});
	}

	void claim(long requestId, ClaimVerdict verdict, long offset) {
		this.pendingClaims.remove(requestId);
		if (verdict == ClaimVerdict.GRANTED) {
			this.heldClaims.put(requestId, offset);
		}
		apply(this.core.onClaim(this.nowNanos, requestId, verdict, offset));
	}

	void advance(long millis) {
		this.nowNanos += millis * 1_000_000;
		apply(this.core.onTick(this.nowNanos));
	}

	void apply(List<TrafficAction> actions) {
		actions.forEach(this::apply);
		final Map<String, Long> attemptsPerTarget = this.liveAttempts.values()
			.stream()
			.collect(Collectors.groupingBy((attempt) -> attempt.targetId, Collectors.counting()));
		assertThat(attemptsPerTarget.values()).allMatch((count) -> count <= SLOTS);
	}

	private void apply(TrafficAction action) {
		final Request request = this.requests.get(action.requestId());
		if (action instanceof TrafficAction.Start start) {
			start(request, start);
		}
		else if (action instanceof TrafficAction.Cancel cancel) {
			this.liveAttempts.get(cancel.attempt()).cancelled = true;
		}
		else if (action instanceof TrafficAction.Claim) {
			assertThat(request.ended).isFalse();
			this.pendingClaims.put(action.requestId(), request);
		}
		else if (action instanceof TrafficAction.Release release) {
			assertThat(request.possibleRuns).as("a claim is released only if no byte was sent").isZero();
			assertThat(this.heldClaims.remove(action.requestId())).isEqualTo(release.claimOffset());
		}
		else if (action instanceof TrafficAction.ReportSuspect report) {
			this.suspectReports.add(report);
		}
		else if (!(action instanceof TrafficAction.ReportStall)) {
			finish(request, action);
		}
	}

	private void start(Request request, TrafficAction.Start start) {
		assertThat(request.ended).isFalse();
		assertThat(request.liveAttempt).as("a request has at most one live attempt").isNull();
		assertThat(start.resumeFromTokens()).as("no token is lost or repeated").isEqualTo(request.deliveredTokens);
		if (!request.info.idempotent()) {
			assertThat(request.possibleRuns).as("a non-idempotent request is not sent again").isZero();
		}
		if (request.info.claim().isRequired()) {
			assertThat(this.heldClaims).containsKey(request.info.requestId());
		}
		assertThat(this.core.targetCrashes().quarantined()).as("a quarantined request is not sent")
			.doesNotContain(request.info.fingerprint());
		request.possibleRuns++;
		request.liveAttempt = start.attempt();
		this.liveAttempts.put(start.attempt(), new Attempt(start.attempt(), start.target().targetId(), request));
	}

	private void finish(Request request, TrafficAction action) {
		assertThat(request.ended).as("a request ends only once").isFalse();
		request.ended = true;
		request.finalAction = action;
		if (action instanceof TrafficAction.Fail fail && fail.runState() == RunState.NOT_RUN) {
			assertThat(request.possibleRuns).as("a request reported as not run has not run").isZero();
			assertThat(this.heldClaims).doesNotContainKey(request.info.requestId());
		}
		if (request.liveAttempt != null) {
			final Attempt attempt = this.liveAttempts.remove(request.liveAttempt);
			assertThat(attempt.cancelled).as("the live attempt of an ended request is cancelled").isTrue();
			this.endedAttempts.add(request.liveAttempt);
		}
	}

	static final class Attempt {

		final AttemptId id;

		final String targetId;

		final Request request;

		final int deliveredTokensAtStart;

		boolean cancelled;

		Attempt(AttemptId id, String targetId, Request request) {
			this.deliveredTokensAtStart = request.deliveredTokens;
			this.id = id;
			this.targetId = targetId;
			this.request = request;
		}

	}

	static final class Request {

		final RequestInfo info;

		AttemptId liveAttempt;

		int deliveredTokens;

		int possibleRuns;

		boolean ended;

		TrafficAction finalAction;

		Request(RequestInfo info) {
			this.info = info;
		}

	}

}
