/**
 * What a daemon knows of configuration versions that are in force on other daemons.
 */
package org.pistachioline.daemon.propagation;
