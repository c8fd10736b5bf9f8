package org.pistachioline.core.demand;

/**
 * The requests for one model or service at one priority.
 *
 * @param name the model's or the service's name, as in the requests
 * @param priority the priority within the model or service; higher numbers go first
 */
public record DemandKey(String name, int priority) {

}
