package org.pistachioline.core.admission;

/**
 * Decides, before any work is done for a request, whether the process can take it.
 */
public interface ArrivalGate {

	/** Takes every request. */
	ArrivalGate OPEN = (nowNanos) -> true;

	/**
	 * Decides for one request.
	 * @param nowNanos the monotonic time
	 * @return whether it is taken; otherwise it is refused as not run
	 */
	boolean admits(long nowNanos);

}
