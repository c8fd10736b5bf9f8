package org.pistachioline.core.state;

/**
 * The planner of a fabric domain, as set by the last accepted planner claim.
 *
 * @param writer the id of the planning process, which includes its incarnation
 * @param epoch the offset of the accepted claim
 */
public record PlannerEpoch(String writer, long epoch) {

}
