package org.pistachioline.core.planner;

/**
 * Waits for a lost member until the wait has cost as much as the alternative, by the
 * operators' weights.
 * <p>
 * Lost members mostly return within seconds and sometimes never, and it is not known
 * which of the two will happen (the ski rental problem). Each alternative is therefore
 * delayed until waiting has cost as much as the alternative would: the total cost is then
 * at most twice that of the best decision in hindsight.
 * <ul>
 * <li>Free instances can replace the lost members: a replacement costs one load, in
 * downtime and in accelerators that load, and waiting costs both at the same rate. The
 * wait is the duration of a load, whatever the weights are.</li>
 * <li>They cannot, but draining groups that another model has beyond its minimum frees
 * enough instances: this also costs the accelerators that drain, so that the wait is
 * longer where stranded accelerators have a higher weight.</li>
 * <li>Another model could use the surviving members: lending them costs this group's
 * downtime, since its instances are in use when the member returns, and two loads, one
 * for each direction; waiting costs the surviving accelerators. A higher weight of
 * downtime leads to a longer wait, and a higher weight of stranded accelerators to a
 * shorter one.</li>
 * <li>None of these: a dissolution gains nothing, so the group waits without a
 * limit.</li>
 * </ul>
 * If both the second and the third case apply, the shorter wait is used.
 */
public final class CostBasedWait implements MemberLossPolicy {

	/**
	 * The assumed downtime of a group whose members are lent to another model, in load
	 * durations: it is down for several loads, not for one.
	 */
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
