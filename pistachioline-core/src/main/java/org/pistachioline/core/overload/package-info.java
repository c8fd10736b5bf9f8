/**
 * Decides what a daemon whose machine is short of processor time still accepts.
 */
package org.pistachioline.core.overload;
