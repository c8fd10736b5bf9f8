/**
 * Admission control, which limits the request rate and the tokens in flight of each
 * workspace.
 */
package org.pistachioline.core.admission;
