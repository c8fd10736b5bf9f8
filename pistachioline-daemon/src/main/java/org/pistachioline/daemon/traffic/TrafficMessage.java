package org.pistachioline.daemon.traffic;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.placement.CacheEvents;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.core.quarantine.TargetCrash;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.daemon.claims.ClaimResult;

/**
 * A message to the traffic duty.
 */
sealed interface TrafficMessage {

	/**
	 * A request arrived.
	 *
	 * @param exchange the request
	 */
	record Arrived(Exchange exchange) implements TrafficMessage {
	}

	/**
	 * An attempt gave its first token.
	 *
	 * @param attempt the attempt
	 * @param tokensDelivered the tokens that the caller has
	 */
	record Progressed(AttemptId attempt, int tokensDelivered) implements TrafficMessage {
	}

	/**
	 * An attempt ended.
	 *
	 * @param attempt the attempt
	 * @param outcome how it ended
	 * @param tokensDelivered the tokens that the caller has
	 */
	record Ended(AttemptId attempt, AttemptOutcome outcome, int tokensDelivered) implements TrafficMessage {
	}

	/**
	 * A claim was decided.
	 *
	 * @param requestId the request
	 * @param result the result
	 */
	record Claimed(long requestId, ClaimResult result) implements TrafficMessage {
	}

	/**
	 * A caller went away.
	 *
	 * @param requestId the request
	 */
	record CallerGone(long requestId) implements TrafficMessage {
	}

	/**
	 * A configuration came into force.
	 *
	 * @param manifest the manifest
	 */
	record Configured(Manifest manifest) implements TrafficMessage {
	}

	/**
	 * The targets changed.
	 *
	 * @param targets every target
	 */
	record Targets(List<TargetView> targets) implements TrafficMessage {
	}

	/**
	 * The agreed state of the fleet changed.
	 *
	 * @param state the state
	 */
	record Fleet(FleetState state) implements TrafficMessage {
	}

	/**
	 * An engine told of its prefix cache.
	 *
	 * @param events what it told
	 */
	record Cached(CacheEvents events) implements TrafficMessage {
	}

	/**
	 * A target's answer said something of its limit.
	 *
	 * @param instanceId the instance
	 * @param sentAtNanos when the answer's request was sent
	 * @param requestsPerSecond the limit that it names; empty where it names none
	 */
	record LimitHeard(String instanceId, long sentAtNanos, OptionalDouble requestsPerSecond) implements TrafficMessage {
	}

	/**
	 * A target's answer asked for no requests for a while.
	 *
	 * @param instanceId the instance
	 * @param receivedAtNanos when the answer came
	 * @param forNanos for how long
	 */
	record BackoffHeard(String instanceId, long receivedAtNanos, long forNanos) implements TrafficMessage {
	}

	/**
	 * A target's answer said that it leaves.
	 *
	 * @param instanceId the instance
	 */
	record LeavingHeard(String instanceId) implements TrafficMessage {
	}

	/**
	 * Another daemon told of targets' limits.
	 *
	 * @param limits what the targets said
	 */
	record LimitsTold(List<AdvertisedLimit> limits) implements TrafficMessage {
	}

	/**
	 * A target died.
	 *
	 * @param crash the target, and what it was running for this daemon
	 */
	record TargetCrashed(TargetCrash crash) implements TrafficMessage {
	}

	/**
	 * Another daemon told of requests under which targets died.
	 *
	 * @param requests the requests
	 */
	record SuspectedTold(List<SuspectedRequest> requests) implements TrafficMessage {
	}

	/**
	 * The daemon leaves.
	 */
	record Leave() implements TrafficMessage {
	}

	/**
	 * A peer told its demand.
	 *
	 * @param daemonId the peer
	 * @param leaving whether it is about to stop
	 * @param demand its requests a second, by workspace
	 */
	record PeerDemand(String daemonId, boolean leaving, Map<String, Double> demand) implements TrafficMessage {
	}

}
