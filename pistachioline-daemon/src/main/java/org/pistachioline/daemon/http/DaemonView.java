package org.pistachioline.daemon.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.peer.PeerStatus;

/**
 * The state of the daemon that the HTTP servers read; all results are immutable
 * snapshots.
 */
public interface DaemonView {

	/**
	 * Returns the manifest in force.
	 * @return the manifest
	 */
	Manifest manifest();

	/**
	 * Returns the version of the manifest in force.
	 * @return the version
	 */
	long configVersion();

	/**
	 * Returns why the daemon accepts no requests.
	 * @return the reason; empty if the daemon is ready
	 */
	Optional<String> notReadyReason();

	/**
	 * Returns whether the daemon is draining before it stops.
	 * @return whether it is leaving
	 */
	boolean leaving();

	/**
	 * Returns the live daemons, including this one.
	 * @return the latest status of each daemon
	 */
	List<PeerStatus> daemons();

	/**
	 * Returns the complete state of the daemon for operators.
	 * @return a tree of maps and lists
	 */
	Map<String, Object> dump();

	/**
	 * Returns the recently arrived requests as a trace.
	 * @return the lines of the trace; empty if recording is off
	 */
	Optional<String> trace();

	/**
	 * Returns the metrics in the Prometheus text format.
	 * @return the text
	 */
	String metrics();

}
