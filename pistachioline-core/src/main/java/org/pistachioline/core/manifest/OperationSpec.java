package org.pistachioline.core.manifest;

/**
 * The rule for calls to a service that match an HTTP method and a path prefix.
 *
 * @param method the HTTP method in upper case
 * @param pathPrefix the prefix of the path, relative to the path of the service
 * @param idempotent whether the call can be retried safely, so that no idempotency key is
 * needed
 * @param keyLifetimeMillis the time after which an idempotency key expires
 */
public record OperationSpec(String method, String pathPrefix, boolean idempotent, long keyLifetimeMillis) {

}
