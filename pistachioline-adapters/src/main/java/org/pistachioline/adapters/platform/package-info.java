/**
 * The platform's log and instance list, by their published protocols.
 */
package org.pistachioline.adapters.platform;
