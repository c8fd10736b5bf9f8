package org.pistachioline.core.manifest;

import java.util.List;
import java.util.Optional;

/**
 * A plain service that the system routes to.
 *
 * @param name the name in the path
 * @param pool the pool whose instances serve it
 * @param timeoutMillis how long one call may take
 * @param operations the operations with rules of their own; others are idempotent
 */
public record ServiceSpec(String name, String pool, long timeoutMillis, List<OperationSpec> operations) {

	public ServiceSpec {
		operations = List.copyOf(operations);
	}

	/**
	 * Finds the rule for a call.
	 * @param method the HTTP method
	 * @param path the path below the service
	 * @return the longest matching operation, if there is one
	 */
	public Optional<OperationSpec> operation(String method, String path) {
		return this.operations.stream()
			.filter((operation) -> operation.method().equals(method) && path.startsWith(operation.pathPrefix()))
			.max((left, right) -> Integer.compare(left.pathPrefix().length(), right.pathPrefix().length()));
	}

}
