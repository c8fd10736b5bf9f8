/**
 * Proves that every member of a group is present and ready at the group's current epoch.
 */
package org.pistachioline.core.presence;
