/**
 * The manifest that operators publish, and its validation.
 */
package org.pistachioline.core.manifest;
