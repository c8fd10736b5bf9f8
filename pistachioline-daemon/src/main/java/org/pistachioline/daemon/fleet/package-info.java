/**
 * Fleet management: the instance list, presence probing of groups, planning and engine
 * orders.
 */
package org.pistachioline.daemon.fleet;
