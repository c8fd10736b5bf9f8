/**
 * Bounds on text from outside.
 */
package org.pistachioline.adapters.text;
