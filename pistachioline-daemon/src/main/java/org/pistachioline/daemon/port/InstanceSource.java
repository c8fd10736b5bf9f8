package org.pistachioline.daemon.port;

import java.util.List;
import java.util.function.Consumer;

import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.daemon.Lifecycle;

/**
 * Follows the platform's list of instances.
 */
public interface InstanceSource extends Lifecycle {

	/**
	 * Sets what takes the whole list after each change; called before the start.
	 * @param receiver takes it; it must not block
	 */
	void onInstances(Consumer<List<ServingInstance>> receiver);

	/**
	 * Says whether this daemon plans, and so needs the list sooner than others do.
	 * @param urgent whether it does
	 */
	void urgent(boolean urgent);

}
