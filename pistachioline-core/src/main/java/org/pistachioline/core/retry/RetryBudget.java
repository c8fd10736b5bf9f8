package org.pistachioline.core.retry;

/**
 * How many attempts beyond the first all daemons together may send to one service.
 *
 * @param ratio the allowed part of the requests that came within a window
 * @param burstAttempts how many more are allowed in each window
 * @param windowNanos the length of a window, in nanoseconds
 */
public record RetryBudget(double ratio, double burstAttempts, long windowNanos) {

}
