/**
 * Who may enter: the limits of each workspace.
 */
package org.pistachioline.core.admission;
