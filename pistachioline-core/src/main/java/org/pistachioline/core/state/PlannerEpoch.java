package org.pistachioline.core.state;

/**
 * Who plans a fabric domain.
 *
 * @param writer the planning process with its incarnation
 * @param epoch the offset of its accepted claim
 */
public record PlannerEpoch(String writer, long epoch) {

}
