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
 * <li>They cannot, but another model could use the surviving members: acting costs this
 * group's downtime, for its instances are gone when the member returns; waiting costs the
 * surviving accelerators. So a heavier downtime waits longer, and heavier stranded
 * accelerators give up sooner.</li>
 * <li>Nobody could use them: acting gains nothing, so it waits.</li>
 * </ul>
 */
public final class WeighedLoss implements MemberLossPolicy {

	/** A group given up to another model is down for some loads, not for one. */
	private static final double LOADS_UNTIL_BACK = 4;

	@Override
	public long waitNanos(MemberLoss loss) {
		if (loss.replaceable()) {
			return loss.loadNanos();
		}
		if (!loss.wantedElsewhere() || loss.survivingAccelerators() == 0) {
			return Long.MAX_VALUE;
		}
		final double downtimeRate = loss.weights().groupDowntime();
		final double strandedRate = loss.weights().strandedAccelerators() * loss.survivingAccelerators();
		final double waitLoads = LOADS_UNTIL_BACK * downtimeRate / strandedRate;
		return (long) Math.min(Long.MAX_VALUE / 2, waitLoads * loss.loadNanos());
	}

}
