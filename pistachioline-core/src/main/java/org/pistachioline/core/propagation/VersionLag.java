package org.pistachioline.core.propagation;

/**
 * How far the configuration in force on this daemon is behind.
 *
 * @param inForce the version in force on this daemon; 0 if none is known
 * @param newest the newest version that this daemon has heard of; 0 if there is none
 * @param heardFrom the daemon on which the newest version is in force; empty if this
 * daemon is not behind
 * @param behindMillis how long this daemon has known of a newer version than its own; 0
 * if it does not know of one
 * @param discovering whether this daemon has just started, so that others have not had
 * time to tell it of a newer version
 */
public record VersionLag(long inForce, long newest, String heardFrom, long behindMillis, boolean discovering) {

	/** The lag of a daemon without peers. */
	public static final VersionLag NONE = new VersionLag(0, 0, "", 0, false);

	/**
	 * Returns whether a newer version is known to be in force elsewhere.
	 * @return whether this daemon is behind
	 */
	public boolean isBehind() {
		return this.newest > this.inForce;
	}

	/**
	 * Returns whether the version in force may be too old to refuse what it does not
	 * allow.
	 * @return whether this daemon is behind, or cannot know yet
	 */
	public boolean mayBeBehind() {
		return isBehind() || this.discovering;
	}

}
