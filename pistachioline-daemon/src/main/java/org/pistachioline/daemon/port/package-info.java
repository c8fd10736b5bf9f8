/**
 * Interfaces between a daemon that relays requests by routes and the platform that it
 * runs on.
 */
package org.pistachioline.daemon.port;
