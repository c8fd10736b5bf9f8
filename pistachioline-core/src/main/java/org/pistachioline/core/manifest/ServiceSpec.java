package org.pistachioline.core.manifest;

import java.util.List;
import java.util.Optional;

/**
 * The declaration of an HTTP service to which requests are routed.
 *
 * @param name the name of the service, which is part of the request path
 * @param pool the name of the pool whose instances serve the requests
 * @param timeoutMillis the timeout of a call
 * @param operations the rules for operations; an operation without a rule is idempotent
 */
public record ServiceSpec(String name, String pool, long timeoutMillis, List<OperationSpec> operations) {

	public ServiceSpec {
		operations = List.copyOf(operations);
	}

	/**
	 * Finds the rule that applies to a call.
	 * @param method the HTTP method
	 * @param path the path, relative to the path of the service
	 * @return the matching rule with the longest path prefix, or empty if none matches
	 */
	public Optional<OperationSpec> operation(String method, String path) {
		return this.operations.stream()
			.filter((operation) -> operation.method().equals(method) && path.startsWith(operation.pathPrefix()))
			.max((left, right) -> Integer.compare(left.pathPrefix().length(), right.pathPrefix().length()));
	}

}
