package org.pistachioline.core.endpoints;

import java.util.List;

import org.pistachioline.core.overload.LateLoopPolicy;
import org.pistachioline.core.peer.PeerStatus;

/**
 * Weights of daemons by the room that they have for callers: their processor cores in
 * relation to the fleet's mean, and less while their event loop runs late.
 * <p>
 * A daemon that does not state its cores counts as one of the mean. No weight is 0, so
 * that a daemon whose loop has recovered receives callers again, and if all daemons are
 * equally late the weights change nothing.
 */
public final class DaemonRoom {

	/** Gives all daemons the same weight. */
	static final DaemonRoom EQUAL = new DaemonRoom(0);

	/** A loop that is less late than this has room. */
	public static final long ON_TIME_MILLIS = LateLoopPolicy.ON_TIME_MILLIS;

	private static final double MIN_LAG_WEIGHT = 0.1;

	private static final double MIN_CORES_WEIGHT = 0.25;

	private static final double MAX_CORES_WEIGHT = 4;

	private final double meanCores;

	private DaemonRoom(double meanCores) {
		this.meanCores = meanCores;
	}

	/**
	 * Creates the weights of a fleet.
	 * @param daemons the live daemons
	 * @return the weights
	 */
	public static DaemonRoom of(List<PeerStatus> daemons) {
		return new DaemonRoom(
				daemons.stream().mapToDouble(PeerStatus::cpuCores).filter((cores) -> cores > 0).average().orElse(1));
	}

	/**
	 * Returns whether a daemon's event loop runs late.
	 * @param daemon the daemon
	 * @return whether its lag is at least {@value #ON_TIME_MILLIS} ms
	 */
	public static boolean isLate(PeerStatus daemon) {
		return daemon.loopLagMillis() >= ON_TIME_MILLIS;
	}

	double weight(PeerStatus daemon) {
		if (this.meanCores <= 0) {
			return 1;
		}
		final double coresWeight = (daemon.cpuCores() > 0)
				? Math.min(MAX_CORES_WEIGHT, Math.max(MIN_CORES_WEIGHT, daemon.cpuCores() / this.meanCores)) : 1;
		final double lagWeight = isLate(daemon)
				? Math.max(MIN_LAG_WEIGHT, (double) ON_TIME_MILLIS / daemon.loopLagMillis()) : 1;
		return coresWeight * lagWeight;
	}

}
