/**
 * Policies and budgets for the retry of failed attempts.
 */
package org.pistachioline.core.retry;
