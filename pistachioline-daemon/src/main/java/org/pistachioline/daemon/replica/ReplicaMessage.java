package org.pistachioline.daemon.replica;

import java.util.List;
import java.util.Set;

import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.core.replica.OrderOutcome;
import org.pistachioline.core.replica.ReplicaOrder;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.core.route.RouteTable;

/**
 * A message to the replica duty.
 */
sealed interface ReplicaMessage {

	/**
	 * Reports that the instance list has changed.
	 *
	 * @param instances all listed instances
	 */
	record InstancesUpdated(List<ServingInstance> instances) implements ReplicaMessage {

	}

	/**
	 * Reports that a configuration has come into force.
	 *
	 * @param table the configuration
	 */
	record ConfigurationUpdated(RouteTable table) implements ReplicaMessage {

	}

	/**
	 * Reports the load of an instance.
	 *
	 * @param instanceId the instance
	 * @param load the load
	 */
	record LoadReported(String instanceId, LoadReport load) implements ReplicaMessage {

	}

	/**
	 * Replaces the availability zones that operators evacuate.
	 *
	 * @param availabilityZones the zones
	 */
	record ZonesEvacuated(Set<String> availabilityZones) implements ReplicaMessage {

	}

	/**
	 * Reports that an instance has announced that it is leaving.
	 *
	 * @param instanceId the instance
	 */
	record InstanceLeaving(String instanceId) implements ReplicaMessage {

	}

	/**
	 * Reports a target that holds requests but makes no progress.
	 *
	 * @param targetId the target
	 */
	record TargetStalled(String targetId) implements ReplicaMessage {

	}

	/**
	 * Reports the results of probing all members of a stalled group.
	 *
	 * @param round the results
	 */
	record GroupProbed(ProbeRound round) implements ReplicaMessage {

	}

	/**
	 * Reports that an order was answered or timed out.
	 *
	 * @param order the order
	 * @param fencingToken the token that the order carried
	 * @param outcome the result as the instance stated it
	 */
	record OrderCompleted(ReplicaOrder order, long fencingToken, OrderOutcome outcome) implements ReplicaMessage {

	}

}
