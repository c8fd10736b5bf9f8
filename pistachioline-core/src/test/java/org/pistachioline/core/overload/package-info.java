/**
 * Tests of what a daemon accepts while its event loop runs late.
 */
package org.pistachioline.core.overload;
