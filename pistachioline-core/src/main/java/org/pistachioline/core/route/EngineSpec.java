package org.pistachioline.core.route;

import java.util.List;
import java.util.Optional;

/**
 * The engines of a service whose replicas are groups of instances.
 *
 * @param slots how many requests one group runs at once
 * @param models the models that groups serve
 * @param loadsPerSecond how many loads from the weight store may begin in a second
 * @param concurrentLoads how many loads run at their full speed at once
 * @param formMillis how long a group takes from the order to open until it serves
 */
public record EngineSpec(int slots, List<EngineModel> models, double loadsPerSecond, int concurrentLoads,
		long formMillis) {

	public EngineSpec {
		models = List.copyOf(models);
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
	 * Returns whether instances serve in groups.
	 * @return whether they do; otherwise each serves by itself
	 */
	public boolean grouped() {
		return this.models.stream().anyMatch((model) -> model.members() > 0);
	}

}
