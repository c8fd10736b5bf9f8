/**
 * Routes from hosts and paths to services, with the configured services, API keys and
 * bounds on callers.
 */
package org.pistachioline.core.route;
