package org.pistachioline.core.peer;

/**
 * What changes of a daemon between two starts: a third of its whole status.
 *
 * @param daemonId its name
 * @param incarnation rises with each start
 * @param sequence rises with each heartbeat
 * @param configVersion the configuration in force there
 * @param ready whether it takes requests
 * @param leaving whether it is about to stop
 */
public record PeerUpdate(String daemonId, long incarnation, long sequence, long configVersion, boolean ready,
		boolean leaving) {

}
