package org.pistachioline.daemon.replica;

import java.util.List;
import java.util.Map;

import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.core.replica.OrderOutcome;
import org.pistachioline.core.replica.ReplicaOrder;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.core.route.RouteTable;

/**
 * What the replica duty is told.
 */
sealed interface ReplicaMessage {

	/**
	 * The list of instances has changed.
	 *
	 * @param instances all of them
	 */
	record InstancesUpdated(List<ServingInstance> instances) implements ReplicaMessage {

	}

	/**
	 * A configuration is in force.
	 *
	 * @param table the configuration
	 */
	record ConfigurationUpdated(RouteTable table) implements ReplicaMessage {

	}

	/**
	 * A target told of its load.
	 *
	 * @param instanceId the instance
	 * @param load its load
	 */
	record LoadReported(String instanceId, LoadReport load) implements ReplicaMessage {

	}

	/**
	 * An instance said that it leaves.
	 *
	 * @param instanceId the instance
	 */
	record InstanceLeaving(String instanceId) implements ReplicaMessage {

	}

	/**
	 * A target stands still while it holds requests.
	 *
	 * @param targetId the target
	 */
	record TargetStalled(String targetId) implements ReplicaMessage {

	}

	/**
	 * The members of a group that stood still were asked whether they live.
	 *
	 * @param answeredById for each member whether it answered
	 */
	record GroupProbed(Map<String, Boolean> answeredById) implements ReplicaMessage {

	}

	/**
	 * An order was answered, or not.
	 *
	 * @param order the order
	 * @param outcome what came of it
	 */
	record OrderCompleted(ReplicaOrder order, OrderOutcome outcome) implements ReplicaMessage {

	}

}
