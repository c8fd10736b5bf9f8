/**
 * What a daemon that relays by routes needs from the platform it runs on.
 */
package org.pistachioline.daemon.port;
