package org.pistachioline.core.demand;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map of bounded size that removes the entry which was not used for longest. Keys that
 * callers choose can therefore not displace those in use for good.
 *
 * @param <K> the key
 * @param <V> the value
 */
public final class RecentEntries<K, V> extends LinkedHashMap<K, V> {

	private static final long serialVersionUID = 1L;

	private static final int INITIAL_CAPACITY = 16;

	private static final float LOAD_FACTOR = 0.75F;

	private final int maxEntries;

	/**
	 * Creates an empty map.
	 * @param maxEntries the bound on entries
	 */
	public RecentEntries(int maxEntries) {
		super(INITIAL_CAPACITY, LOAD_FACTOR, true);
		this.maxEntries = maxEntries;
	}

	@Override
	protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
		return size() > this.maxEntries;
	}

}
