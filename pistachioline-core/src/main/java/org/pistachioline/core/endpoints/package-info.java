/**
 * Which of the system's addresses a caller is told to use.
 */
package org.pistachioline.core.endpoints;
