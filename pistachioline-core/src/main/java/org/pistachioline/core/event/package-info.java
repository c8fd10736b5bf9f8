/**
 * Catalogue of the numbered log events.
 */
package org.pistachioline.core.event;
