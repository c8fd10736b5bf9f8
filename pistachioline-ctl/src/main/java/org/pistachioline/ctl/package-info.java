/**
 * The operators' client.
 */
package org.pistachioline.ctl;
