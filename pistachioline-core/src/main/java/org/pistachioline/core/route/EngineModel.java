package org.pistachioline.core.route;

/**
 * A model that is served by groups of a service's instances.
 *
 * @param name the model's name
 * @param members the number of instances in a group
 * @param initialShareRatio the model's share of the requests when the system starts
 * @param latencyRatio the factor by which all latencies of the engine are multiplied
 * @param loadMillis the time in which an instance loads the model's weights from the
 * weight store
 * @param warmLoadMillis the load time where the weights are on the host already
 */
public record EngineModel(String name, int members, double initialShareRatio, double latencyRatio, long loadMillis,
		long warmLoadMillis) {

}
