/**
 * Tracks instances that asked this daemon to send no requests, for a while or because
 * they are leaving.
 */
package org.pistachioline.core.backoff;
