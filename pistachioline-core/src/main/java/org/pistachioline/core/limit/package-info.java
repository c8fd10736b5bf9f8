/**
 * The request limits that targets name in their answers, for all daemons together.
 */
package org.pistachioline.core.limit;
