package org.pistachioline.core.admission;

/**
 * A kind of request in a {@link FleetSimulation}.
 *
 * @param priority its priority; higher numbers go first
 * @param objectiveMillis the time within which an answer is on time
 * @param timeoutMillis how long its caller waits in all
 * @param credit what an answer on time is worth
 * @param lateCredit what a late answer is worth
 * @param workRatio its part of the work that callers ask for
 * @param meanSlotMillis how long it holds a slot on average
 */
record FleetKind(int priority, long objectiveMillis, long timeoutMillis, double credit, double lateCredit,
		double workRatio, double meanSlotMillis) {

}
