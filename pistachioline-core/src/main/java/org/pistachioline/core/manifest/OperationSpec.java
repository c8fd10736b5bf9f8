package org.pistachioline.core.manifest;

/**
 * Rules for the calls of a service that match a method and a path.
 *
 * @param method the HTTP method, in capitals
 * @param pathPrefix the start of the path below the service
 * @param idempotent whether the call may be repeated
 * @param keyLifetimeMillis how long an idempotency key is remembered
 */
public record OperationSpec(String method, String pathPrefix, boolean idempotent, long keyLifetimeMillis) {

}
