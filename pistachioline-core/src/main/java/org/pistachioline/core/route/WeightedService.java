package org.pistachioline.core.route;

/**
 * A service that takes a part of a route's requests.
 *
 * @param service the service's name
 * @param weight its part, in proportion to the weights of the others
 */
public record WeightedService(String service, int weight) {

}
