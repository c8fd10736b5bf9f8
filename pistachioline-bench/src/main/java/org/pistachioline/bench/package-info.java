/**
 * Measurements of the product, one line of JSON a figure.
 */
package org.pistachioline.bench;
