package org.pistachioline.core.route;

/**
 * A model that groups of a service's instances serve.
 *
 * @param name the model's name
 * @param members how many instances one group has
 * @param initialShareRatio its part of the work when the system starts
 * @param latencyRatio what all of the engine's times are multiplied with
 * @param loadMillis how long an instance takes to load its weights from the weight store
 * @param warmLoadMillis how long it takes where the weights are on the host already
 */
public record EngineModel(String name, int members, double initialShareRatio, double latencyRatio, long loadMillis,
		long warmLoadMillis) {

}
