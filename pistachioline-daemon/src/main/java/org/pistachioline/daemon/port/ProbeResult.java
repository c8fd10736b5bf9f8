package org.pistachioline.daemon.port;

/**
 * What a liveness probe has shown of an instance.
 */
public enum ProbeResult {

	/** The instance responded. */
	ANSWERED,

	/** Its address refuses connections, or another process responds there. */
	GONE,

	/** No response came in time, which a sound instance may also show for a second. */
	SILENT

}
