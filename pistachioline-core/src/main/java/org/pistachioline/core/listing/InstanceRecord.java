package org.pistachioline.core.listing;

import org.pistachioline.core.replica.ServingInstance;

/**
 * A record of the platform's instance list. The platform assigns each record an offset,
 * which is the same for every daemon, so that deltas can be exchanged between daemons.
 */
public sealed interface InstanceRecord
		permits InstanceRecord.Listed, InstanceRecord.Tombstone, InstanceRecord.Unusable {

	/**
	 * Returns the key under which the instance is listed. It stays the same when the
	 * instance restarts.
	 * @return the key
	 */
	String key();

	long offset();

	/**
	 * Adds or replaces the instance's entry.
	 *
	 * @param key the key under which the instance is listed
	 * @param offset the record's offset
	 * @param startedAtMillis when the instance's process started, in Unix time by its own
	 * clock; 0 if it does not say
	 * @param instance the instance
	 */
	record Listed(String key, long offset, long startedAtMillis, ServingInstance instance) implements InstanceRecord {

		boolean hasSameContent(Listed other) {
			return this.startedAtMillis == other.startedAtMillis && this.instance.equals(other.instance);
		}

	}

	/**
	 * Removes the instance's entry.
	 *
	 * @param key the key under which the instance was listed
	 * @param offset the record's offset
	 */
	record Tombstone(String key, long offset) implements InstanceRecord {

	}

	/**
	 * A record that holds no usable instance, because another writer has overwritten the
	 * key or the value is damaged.
	 *
	 * @param key the record's key
	 * @param offset the record's offset
	 */
	record Unusable(String key, long offset) implements InstanceRecord {

	}

}
