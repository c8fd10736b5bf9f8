package org.pistachioline.core.replica;

/**
 * Identifies one formation of a group. Epochs are unique and increase with every
 * formation, whichever daemon is the planner.
 * <p>
 * The name contains the model, because instances report the name and not the model: from
 * the name a new planner learns which model a partially formed group is to serve.
 *
 * @param name the name that was given to the members
 * @param epoch the epoch
 */
public record GroupId(String name, long epoch) {

	private static final char SEPARATOR = '.';

	/**
	 * Creates the identifier of a new group.
	 * @param model the model that the group is to serve
	 * @param epoch the epoch
	 * @return the identifier
	 */
	public static GroupId of(String model, long epoch) {
		return new GroupId(model + SEPARATOR + Long.toString(epoch, Character.MAX_RADIX), epoch);
	}

	/**
	 * Extracts the model from the group's name.
	 * @return the model's name
	 */
	public String model() {
		final int end = this.name.lastIndexOf(SEPARATOR);
		return (end >= 0) ? this.name.substring(0, end) : this.name;
	}

}
