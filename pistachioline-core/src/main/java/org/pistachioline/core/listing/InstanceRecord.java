package org.pistachioline.core.listing;

import org.pistachioline.core.replica.ServingInstance;

/**
 * One record of the platform's list of instances. Its offset is its place among all
 * records, the same for every daemon, whoever read it.
 */
public sealed interface InstanceRecord
		permits InstanceRecord.Listed, InstanceRecord.Tombstone, InstanceRecord.Unusable {

	/**
	 * Returns the instance's key in the list; it stays when the instance starts again.
	 * @return the key
	 */
	String key();

	/**
	 * Returns the record's offset.
	 * @return the offset
	 */
	long offset();

	/**
	 * The instance is listed as this from here on.
	 *
	 * @param key the instance's key
	 * @param offset the record's offset
	 * @param startedAtMillis when the instance's process started, by its own clock; 0
	 * where it does not tell
	 * @param instance the instance
	 */
	record Listed(String key, long offset, long startedAtMillis, ServingInstance instance) implements InstanceRecord {

		boolean hasSameContent(Listed other) {
			return this.startedAtMillis == other.startedAtMillis && this.instance.equals(other.instance);
		}

	}

	/**
	 * The instance is not listed any more.
	 *
	 * @param key the instance's key
	 * @param offset the record's offset
	 */
	record Tombstone(String key, long offset) implements InstanceRecord {

	}

	/**
	 * The record names no instance: another writer has put it there, or it was damaged.
	 *
	 * @param key the instance's key
	 * @param offset the record's offset
	 */
	record Unusable(String key, long offset) implements InstanceRecord {

	}

}
