/**
 * What daemons know of each other.
 */
package org.pistachioline.core.peer;
