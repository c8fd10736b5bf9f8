/**
 * Which requests go to which service, for whom and within which bounds.
 */
package org.pistachioline.core.route;
