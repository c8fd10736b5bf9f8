package org.pistachioline.core.evacuation;

import java.util.List;

/**
 * What the platform's store shows of all evacuations.
 *
 * @param fromPosition the first position that the reading covers
 * @param toPosition the position after the last one that it covers
 * @param records the latest record on each zone that is in force, and withdrawals that
 * were read
 */
public record EvacuationReading(long fromPosition, long toPosition, List<ZoneEvacuation> records) {

	public EvacuationReading {
		records = List.copyOf(records);
	}

}
