package org.pistachioline.adapters.codec;

import java.util.List;

import org.pistachioline.core.manifest.DeadlineSpec;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.manifest.OperationSpec;
import org.pistachioline.core.manifest.PoolKind;
import org.pistachioline.core.manifest.PoolSpec;
import org.pistachioline.core.manifest.ServiceSpec;
import org.pistachioline.core.manifest.WeightSpec;
import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.protocol.records.Deadlines;
import org.pistachioline.protocol.records.Model;
import org.pistachioline.protocol.records.Operation;
import org.pistachioline.protocol.records.Pool;
import org.pistachioline.protocol.records.Service;
import org.pistachioline.protocol.records.Weights;
import org.pistachioline.protocol.records.Workspace;

/**
 * Turns manifests into protobuf and back.
 */
public final class ManifestCodec {

	private ManifestCodec() {
	}

	/**
	 * Encodes a manifest.
	 * @param manifest the manifest
	 * @return its protobuf form
	 */
	public static org.pistachioline.protocol.records.Manifest encode(Manifest manifest) {
		final org.pistachioline.protocol.records.Manifest.Builder builder = org.pistachioline.protocol.records.Manifest
			.newBuilder();
		manifest.pools().forEach((pool) -> builder.addPools(encode(pool)));
		manifest.models().forEach((model) -> builder.addModels(encode(model)));
		manifest.services().forEach((service) -> builder.addServices(encode(service)));
		manifest.workspaces().forEach((workspace) -> builder.addWorkspaces(encode(workspace)));
		builder.setWeights(Weights.newBuilder()
			.setGroupDowntime(manifest.weights().groupDowntime())
			.setStrandedAccelerators(manifest.weights().strandedAccelerators()));
		builder.setDeadlines(Deadlines.newBuilder()
			.setFirstTokenMillis(manifest.deadlines().firstTokenMillis())
			.setTotalMillis(manifest.deadlines().totalMillis()));
		return builder.build();
	}

	/**
	 * Decodes a manifest.
	 * @param message its protobuf form
	 * @return the manifest
	 */
	public static Manifest decode(org.pistachioline.protocol.records.Manifest message) {
		return new Manifest(message.getPoolsList().stream().map(ManifestCodec::decode).toList(),
				message.getModelsList().stream().map(ManifestCodec::decode).toList(),
				message.getServicesList().stream().map(ManifestCodec::decode).toList(),
				message.getWorkspacesList().stream().map(ManifestCodec::decode).toList(),
				new WeightSpec(message.getWeights().getGroupDowntime(), message.getWeights().getStrandedAccelerators()),
				new DeadlineSpec(message.getDeadlines().getFirstTokenMillis(),
						message.getDeadlines().getTotalMillis()));
	}

	private static Pool encode(PoolSpec pool) {
		return Pool.newBuilder()
			.setName(pool.name())
			.setKind(pool.kind().manifestName())
			.setChecksFencing(pool.checksFencing())
			.setWeightStoreLoadsPerMinute(pool.weightStoreLoadsPerMinute())
			.build();
	}

	private static PoolSpec decode(Pool pool) {
		final PoolKind kind = PoolKind.byManifestName(pool.getKind())
			.orElseThrow(() -> new IllegalArgumentException("unknown kind of pool"));
		return new PoolSpec(pool.getName(), kind, pool.getChecksFencing(), pool.getWeightStoreLoadsPerMinute());
	}

	private static Model encode(ModelSpec model) {
		return Model.newBuilder()
			.setName(model.name())
			.setPool(model.pool())
			.setMembers(model.members())
			.setMinReplicas(model.minReplicas())
			.setMaxReplicas(model.maxReplicas())
			.setMaxConcurrentRequests(model.maxConcurrentRequests())
			.build();
	}

	private static ModelSpec decode(Model model) {
		return new ModelSpec(model.getName(), model.getPool(), model.getMembers(), model.getMinReplicas(),
				model.getMaxReplicas(), model.getMaxConcurrentRequests());
	}

	private static Service encode(ServiceSpec service) {
		final List<Operation> operations = service.operations()
			.stream()
			.map((operation) -> Operation.newBuilder()
				.setMethod(operation.method())
				.setPathPrefix(operation.pathPrefix())
				.setIdempotent(operation.idempotent())
				.setKeyLifetimeMillis(operation.keyLifetimeMillis())
				.build())
			.toList();
		return Service.newBuilder()
			.setName(service.name())
			.setPool(service.pool())
			.setTimeoutMillis(service.timeoutMillis())
			.addAllOperations(operations)
			.build();
	}

	private static ServiceSpec decode(Service service) {
		final List<OperationSpec> operations = service.getOperationsList()
			.stream()
			.map((operation) -> new OperationSpec(operation.getMethod(), operation.getPathPrefix(),
					operation.getIdempotent(), operation.getKeyLifetimeMillis()))
			.toList();
		return new ServiceSpec(service.getName(), service.getPool(), service.getTimeoutMillis(), operations);
	}

	private static Workspace encode(WorkspaceSpec workspace) {
		return Workspace.newBuilder()
			.setName(workspace.name())
			.addAllKeySha256(workspace.keySha256())
			.setRequestsPerSecond(workspace.requestsPerSecond())
			.setTokensInFlight(workspace.tokensInFlight())
			.setQueuedRequests(workspace.queuedRequests())
			.setWeight(workspace.weight())
			.addAllModels(workspace.models())
			.addAllServices(workspace.services())
			.build();
	}

	private static WorkspaceSpec decode(Workspace workspace) {
		return new WorkspaceSpec(workspace.getName(), workspace.getKeySha256List(), workspace.getRequestsPerSecond(),
				workspace.getTokensInFlight(), workspace.getQueuedRequests(), workspace.getWeight(),
				workspace.getModelsList(), workspace.getServicesList());
	}

}
