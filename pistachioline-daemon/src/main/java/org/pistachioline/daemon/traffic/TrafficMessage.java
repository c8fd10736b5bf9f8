package org.pistachioline.daemon.traffic;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.LongConsumer;

import org.pistachioline.core.cold.ColdTarget;
import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.placement.CacheEvents;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.core.quarantine.TargetCrash;
import org.pistachioline.core.route.ColdStart;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.Drain;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.daemon.claims.ClaimResult;

/**
 * A message in the ring of the traffic duty.
 */
sealed interface TrafficMessage {

	/**
	 * A request arrived.
	 *
	 * @param exchange the request
	 */
	record RequestArrived(Exchange exchange) implements TrafficMessage {
	}

	/**
	 * An attempt delivered tokens, or its caller reads slowly.
	 *
	 * @param attempt the attempt
	 * @param tokensDelivered the total number of tokens delivered for the request
	 */
	record AttemptProgressed(AttemptId attempt, int tokensDelivered) implements TrafficMessage {
	}

	/**
	 * An attempt ended.
	 *
	 * @param attempt the attempt
	 * @param outcome how the attempt ended
	 * @param tokensDelivered the total number of tokens delivered for the request
	 */
	record AttemptEnded(AttemptId attempt, AttemptOutcome outcome, int tokensDelivered) implements TrafficMessage {
	}

	/**
	 * A claim was decided.
	 *
	 * @param requestId the request
	 * @param result the result
	 */
	record ClaimDecided(long requestId, ClaimResult result) implements TrafficMessage {
	}

	/**
	 * A caller disconnected.
	 *
	 * @param requestId the request
	 */
	record CallerDisconnected(long requestId) implements TrafficMessage {
	}

	/**
	 * A configuration came into force.
	 *
	 * @param manifest the manifest
	 */
	record ManifestChanged(Manifest manifest) implements TrafficMessage {
	}

	/**
	 * The targets changed.
	 *
	 * @param targets every target
	 */
	record TargetsChanged(List<TargetView> targets) implements TrafficMessage {
	}

	/**
	 * The replicated state of the fleet changed.
	 *
	 * @param state the state
	 */
	record FleetStateChanged(FleetState state) implements TrafficMessage {
	}

	/**
	 * The contents of an engine's prefix cache changed.
	 *
	 * @param events the changes
	 */
	record CacheChanged(CacheEvents events) implements TrafficMessage {
	}

	/**
	 * A response stated a rate limit, or no longer does.
	 *
	 * @param instanceId the instance
	 * @param sentAtNanos when the request of the response was sent
	 * @param requestsPerSecond the stated limit; empty if the response states none
	 */
	record LimitReceived(String instanceId, long sentAtNanos,
			OptionalDouble requestsPerSecond) implements TrafficMessage {
	}

	/**
	 * A response asked for no requests for some time.
	 *
	 * @param instanceId the instance
	 * @param receivedAtNanos when the response arrived
	 * @param forNanos the length of the backoff
	 */
	record BackoffReceived(String instanceId, long receivedAtNanos, long forNanos) implements TrafficMessage {
	}

	/**
	 * A response stated that its instance is shutting down.
	 *
	 * @param instanceId the instance
	 */
	record LeavingReceived(String instanceId) implements TrafficMessage {
	}

	/**
	 * Another daemon sent the limits that it learned from targets.
	 *
	 * @param limits the limits that the targets stated
	 */
	record PeerLimitsReceived(List<AdvertisedLimit> limits) implements TrafficMessage {
	}

	/**
	 * The configuration declares how cold instances behave.
	 *
	 * @param byService the declarations, by the name of the service
	 */
	record ColdStartsChanged(Map<String, ColdStart> byService) implements TrafficMessage {
	}

	/**
	 * Operators evacuate availability zones.
	 *
	 * @param availabilityZones the zones, none where it is over
	 */
	record ZonesEvacuated(Set<String> availabilityZones) implements TrafficMessage {
	}

	/**
	 * This daemon found targets that have not warmed up.
	 *
	 * @param targets the targets
	 * @param tellPeers whether other daemons are told at once
	 */
	record ColdTargetsFound(List<ColdTarget> targets, boolean tellPeers) implements TrafficMessage {
	}

	/**
	 * Another daemon sent the targets that it knows to be cold.
	 *
	 * @param targets the targets
	 */
	record PeerColdTargetsReceived(List<ColdTarget> targets) implements TrafficMessage {
	}

	/**
	 * A target crashed.
	 *
	 * @param crash the target, and the requests that it was running for this daemon
	 */
	record TargetCrashed(TargetCrash crash) implements TrafficMessage {
	}

	/**
	 * Another daemon sent the requests that were running when targets crashed.
	 *
	 * @param requests the requests
	 */
	record PeerSuspectsReceived(List<SuspectedRequest> requests) implements TrafficMessage {
	}

	/**
	 * Another part of the daemon runs a task on the traffic duty's thread.
	 *
	 * @param task receives the monotonic time; must not block
	 */
	record TaskSubmitted(LongConsumer task) implements TrafficMessage {
	}

	/**
	 * The daemon is shutting down and accepts only some new requests.
	 *
	 * @param drain the terms
	 */
	record DrainChanged(Drain drain) implements TrafficMessage {
	}

	/**
	 * The daemon stops, so that all active requests fail.
	 */
	record AllInterrupted() implements TrafficMessage {
	}

	/**
	 * A peer sent its demand in a heartbeat.
	 *
	 * @param daemonId the peer
	 * @param leaving whether the peer is shutting down
	 * @param demand its requests per second, by workspace
	 */
	record PeerDemandReceived(String daemonId, boolean leaving, Map<String, Double> demand) implements TrafficMessage {
	}

}
