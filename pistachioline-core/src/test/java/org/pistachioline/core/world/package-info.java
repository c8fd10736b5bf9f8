/**
 * What worlds in virtual time have in common.
 */
package org.pistachioline.core.world;
