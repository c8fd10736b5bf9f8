package org.pistachioline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * Chooses a target for a request.
 */
public interface PlacementPolicy {

	/**
	 * Chooses a target with room.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param candidates the targets of the model or service
	 * @param triedTargetIds the targets that failed this request before, to be avoided
	 * @return the target; empty where none has room
	 */
	Optional<TargetLoad> choose(long nowNanos, RequestInfo info, List<TargetLoad> candidates,
			Set<String> triedTargetIds);

}
