package org.pistachioline.replay.trace;

/**
 * A plain service and how its instances behave.
 *
 * @param name the service's name
 * @param replicas how many instances serve it
 * @param slots how many calls one instance runs at once
 * @param callMillis how long a call takes
 * @param lostAnswerRatio how many answers are lost after the call ran
 */
public record ServiceLine(String name, int replicas, int slots, double callMillis,
		double lostAnswerRatio) implements TraceLine {

	private static final int MOST_REPLICAS = 2_000;

	public ServiceLine {
		Checks.text("name", name);
		Checks.between("replicas", replicas, 1, MOST_REPLICAS);
		Checks.between("slots", slots, 1, Integer.MAX_VALUE);
		Checks.between("call_millis", callMillis, 1e-3, Integer.MAX_VALUE);
		Checks.between("lost_answer_ratio", lostAnswerRatio, 0, 1);
	}

}
