/**
 * Which requests crash the targets that run them.
 */
package org.pistachioline.core.quarantine;
