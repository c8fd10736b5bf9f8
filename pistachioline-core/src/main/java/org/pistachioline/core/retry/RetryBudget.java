package org.pistachioline.core.retry;

/**
 * The limit on attempts beyond the first that all daemons together may send to one
 * service.
 *
 * @param ratio the allowed attempts as a fraction of the requests that arrived within a
 * window
 * @param burstAttempts the additional attempts that are allowed in each window
 * @param windowNanos the length of a window, in nanoseconds
 */
public record RetryBudget(double ratio, double burstAttempts, long windowNanos) {

}
