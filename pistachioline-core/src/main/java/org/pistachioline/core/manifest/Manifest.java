package org.pistachioline.core.manifest;

import java.util.List;
import java.util.Optional;

/**
 * The complete configuration of the system, as published by operators.
 *
 * @param pools the pools of targets
 * @param models the served models
 * @param services the HTTP services
 * @param workspaces the workspaces whose requests are accepted
 * @param weights the relative costs of group downtime and stranded accelerators
 * @param deadlines the default deadlines of requests
 */
public record Manifest(List<PoolSpec> pools, List<ModelSpec> models, List<ServiceSpec> services,
		List<WorkspaceSpec> workspaces, WeightSpec weights, DeadlineSpec deadlines) {

	/** The manifest that applies before one is published; it declares nothing. */
	public static final Manifest EMPTY = new Manifest(List.of(), List.of(), List.of(), List.of(), WeightSpec.DEFAULT,
			DeadlineSpec.DEFAULT);

	public Manifest {
		pools = List.copyOf(pools);
		models = List.copyOf(models);
		services = List.copyOf(services);
		workspaces = List.copyOf(workspaces);
	}

	/**
	 * Finds a pool by its name.
	 * @param name the name of the pool
	 * @return the pool, if it is declared
	 */
	public Optional<PoolSpec> pool(String name) {
		return this.pools.stream().filter((pool) -> pool.name().equals(name)).findFirst();
	}

	/**
	 * Finds a model by its name.
	 * @param name the name of the model
	 * @return the model, if it is declared
	 */
	public Optional<ModelSpec> model(String name) {
		return this.models.stream().filter((model) -> model.name().equals(name)).findFirst();
	}

	/**
	 * Finds a service by its name.
	 * @param name the name of the service
	 * @return the service, if it is declared
	 */
	public Optional<ServiceSpec> service(String name) {
		return this.services.stream().filter((service) -> service.name().equals(name)).findFirst();
	}

	/**
	 * Finds a workspace by its name.
	 * @param name the name of the workspace
	 * @return the workspace, if it is declared
	 */
	public Optional<WorkspaceSpec> workspace(String name) {
		return this.workspaces.stream().filter((workspace) -> workspace.name().equals(name)).findFirst();
	}

}
