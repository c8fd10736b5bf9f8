/**
 * Adapters around the pure core: codecs, settings, the platform and the targets.
 */
package org.pistachioline.adapters;
