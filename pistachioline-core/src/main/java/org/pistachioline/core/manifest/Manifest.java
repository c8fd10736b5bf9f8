package org.pistachioline.core.manifest;

import java.util.List;
import java.util.Optional;

/**
 * One whole configuration of the system, as declared by operators.
 *
 * @param pools the target pools
 * @param models the served models
 * @param services the plain services
 * @param workspaces the workspaces who may call
 * @param weights the weights of group downtime against stranded accelerators
 * @param deadlines the deadlines of requests
 */
public record Manifest(List<PoolSpec> pools, List<ModelSpec> models, List<ServiceSpec> services,
		List<WorkspaceSpec> workspaces, WeightSpec weights, DeadlineSpec deadlines) {

	/** The manifest before any was published: nothing is declared. */
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
	 * @param name the pool's name
	 * @return the pool, if it is declared
	 */
	public Optional<PoolSpec> pool(String name) {
		return this.pools.stream().filter((pool) -> pool.name().equals(name)).findFirst();
	}

	/**
	 * Finds a model by its name.
	 * @param name the model's name
	 * @return the model, if it is declared
	 */
	public Optional<ModelSpec> model(String name) {
		return this.models.stream().filter((model) -> model.name().equals(name)).findFirst();
	}

	/**
	 * Finds a service by its name.
	 * @param name the service's name
	 * @return the service, if it is declared
	 */
	public Optional<ServiceSpec> service(String name) {
		return this.services.stream().filter((service) -> service.name().equals(name)).findFirst();
	}

	/**
	 * Finds a workspace by its name.
	 * @param name the workspace's name
	 * @return the workspace, if it is declared
	 */
	public Optional<WorkspaceSpec> workspace(String name) {
		return this.workspaces.stream().filter((workspace) -> workspace.name().equals(name)).findFirst();
	}

}
