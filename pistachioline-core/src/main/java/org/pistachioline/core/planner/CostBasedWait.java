package org.pistachioline.core.planner;

/**
 * Waits as long as waiting may still cost less than acting, by the operators' weights.
 * <p>
 * Made for members that mostly come back within seconds and sometimes never. Nobody knows
 * which it is, so each choice is put off until waiting has cost as much as the choice
 * would: then the cost is at most twice that of the best choice in hindsight.
 * <ul>
 * <li>Free instances can take the places: acting costs one load, in downtime and in
 * accelerators that load, and waiting costs both at the same rate. So it waits as long as
 * a load takes, whatever the weights.</li>
 * <li>They cannot, but draining groups that another model has beyond its least number
 * makes room: acting costs also the accelerators that drain, so that it waits longer
 * where stranded accelerators weigh more.</li>
 * <li>Another model could use the surviving members: lending them costs this group's
 * downtime, for its instances are gone when the member returns, and two loads, one there
 * and one back; waiting costs the surviving accelerators. So a heavier downtime waits
 * longer, and heavier stranded accelerators give up sooner.</li>
 * <li>Nothing of this: acting gains nothing, so it waits.</li>
 * </ul>
 * Of the two in the middle the one that comes first by the weights is taken.
 */
public final class CostBasedWait implements MemberLossPolicy {

	/** A group lent to another model is down for some loads, not for one. */
	private static final double LENDING_LOADS = 4;

	@Override
	public long waitNanos(MemberLoss loss) {
		if (loss.replaceable()) {
			return loss.expectedLoadNanos();
		}
		double waitLoads = Double.MAX_VALUE;
		final double downtimeRate = loss.weights().groupDowntime();
		final double strandedWeight = loss.weights().strandedAccelerators();
		final double waitingRate = strandedWeight * loss.survivingAccelerators();
		if (loss.acceleratorsToDrain() != MemberLoss.NOT_RECLAIMABLE) {
			final double actingRate = downtimeRate
					+ strandedWeight * (loss.accelerators() + loss.acceleratorsToDrain());
			waitLoads = actingRate / (downtimeRate + waitingRate);
		}
		if (loss.neededElsewhere() && waitingRate > 0) {
			final double lendingRate = LENDING_LOADS * downtimeRate
					+ strandedWeight * (loss.survivingAccelerators() + loss.accelerators());
			waitLoads = Math.min(waitLoads, lendingRate / waitingRate);
		}
		return (waitLoads == Double.MAX_VALUE) ? Long.MAX_VALUE
				: (long) Math.min(Long.MAX_VALUE / 2, waitLoads * loss.expectedLoadNanos());
	}

}
