package org.pistachioline.core.route;

/**
 * A service that receives a part of a route's requests.
 *
 * @param service the service's name
 * @param weight the service's part, relative to the weights of the route's other services
 */
public record WeightedService(String service, int weight) {

}
