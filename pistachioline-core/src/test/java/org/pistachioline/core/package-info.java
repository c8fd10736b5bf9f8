/**
 * Architecture tests of the core module.
 */
package org.pistachioline.core;
