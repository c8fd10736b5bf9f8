/**
 * The catalogue of numbered log events.
 */
package org.pistachioline.core.event;
