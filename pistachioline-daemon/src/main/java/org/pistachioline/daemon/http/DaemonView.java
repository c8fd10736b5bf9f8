package org.pistachioline.daemon.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.peer.PeerStatus;

/**
 * What the HTTP servers ask of the daemon; all answers are immutable snapshots.
 */
public interface DaemonView {

	/**
	 * Returns the manifest in force.
	 * @return the manifest
	 */
	Manifest manifest();

	/**
	 * Returns the manifest's version.
	 * @return the version
	 */
	long configVersion();

	/**
	 * Returns why the daemon takes no requests.
	 * @return the reason; empty where it is ready
	 */
	Optional<String> notReadyReason();

	/**
	 * Returns whether the daemon is about to stop.
	 * @return whether it is
	 */
	boolean leaving();

	/**
	 * Returns the live daemons, this one included.
	 * @return what each says of itself
	 */
	List<PeerStatus> daemons();

	/**
	 * Returns the daemon's whole state for operators.
	 * @return a tree of maps and lists
	 */
	Map<String, Object> dump();

	/**
	 * Returns recent arrivals as a trace.
	 * @return the trace's lines; empty where they are not recorded
	 */
	Optional<String> trace();

	/**
	 * Returns the metrics in the Prometheus form.
	 * @return the text
	 */
	String metrics();

}
