/**
 * Proof that every member of a group is there, for the group's present epoch.
 */
package org.pistachioline.core.presence;
