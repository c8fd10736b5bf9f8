/**
 * The manifest, which is the configuration that operators publish, and its validation.
 */
package org.pistachioline.core.manifest;
