/**
 * Model engines and plain services, by their published protocols.
 */
package org.pistachioline.adapters.target;
