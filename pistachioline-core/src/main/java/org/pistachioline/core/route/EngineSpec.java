package org.pistachioline.core.route;

import java.util.List;
import java.util.Optional;

/**
 * The engines of a service whose replicas are groups of instances.
 *
 * @param slots the number of requests that a group runs concurrently
 * @param models the models that the groups serve
 * @param loadsPerSecond the bound on loads from the weight store that start within a
 * second
 * @param concurrentLoads the number of concurrent loads up to which each runs at full
 * speed
 * @param formMillis the time from the order to open a group until it serves
 * @param tokensPerEvent the number of tokens that an event of a stream holds
 */
public record EngineSpec(int slots, List<EngineModel> models, double loadsPerSecond, int concurrentLoads,
		long formMillis, int tokensPerEvent) {

	public EngineSpec {
		models = List.copyOf(models);
		tokensPerEvent = Math.max(1, tokensPerEvent);
	}

	/**
	 * Creates engines whose events hold one token each.
	 * @param slots the number of requests that a group runs concurrently
	 * @param models the models that the groups serve
	 * @param loadsPerSecond the bound on loads that start within a second
	 * @param concurrentLoads the number of concurrent loads at full speed
	 * @param formMillis the time from the order to open a group until it serves
	 */
	public EngineSpec(int slots, List<EngineModel> models, double loadsPerSecond, int concurrentLoads,
			long formMillis) {
		this(slots, models, loadsPerSecond, concurrentLoads, formMillis, 1);
	}

	/**
	 * Returns how many events a stream has at most.
	 * @param maxOutputTokens the maximum number of tokens that it may generate
	 * @return the number of events
	 */
	public int maxOutputEvents(int maxOutputTokens) {
		return (int) Math.ceil((double) Math.max(0, maxOutputTokens) / this.tokensPerEvent);
	}

	/**
	 * Finds a model by its name.
	 * @param name the model's name
	 * @return the model, if it is served
	 */
	public Optional<EngineModel> model(String name) {
		return this.models.stream().filter((model) -> model.name().equals(name)).findFirst();
	}

	/**
	 * Returns whether the instances serve in groups.
	 * @return whether they do; otherwise each instance serves on its own
	 */
	public boolean grouped() {
		return this.models.stream().anyMatch((model) -> model.members() > 0);
	}

}
