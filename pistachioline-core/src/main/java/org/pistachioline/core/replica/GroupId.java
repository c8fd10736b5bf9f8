package org.pistachioline.core.replica;

/**
 * Names one forming of a group. No two have the same epoch, and a later one has a higher
 * epoch, whichever daemon ordered it.
 * <p>
 * The group's name holds its model, since instances report the name and not the model: a
 * planner that takes over learns from it what a half-formed group is to become.
 *
 * @param name the name that the members were given
 * @param epoch the epoch
 */
public record GroupId(String name, long epoch) {

	private static final char SEPARATOR = '.';

	/**
	 * Names a new group.
	 * @param model the model that it is to serve
	 * @param epoch its epoch
	 * @return the group
	 */
	public static GroupId of(String model, long epoch) {
		return new GroupId(model + SEPARATOR + Long.toString(epoch, Character.MAX_RADIX), epoch);
	}

	/**
	 * Returns the model that the group serves.
	 * @return the model's name
	 */
	public String model() {
		final int end = this.name.lastIndexOf(SEPARATOR);
		return (end >= 0) ? this.name.substring(0, end) : this.name;
	}

}
