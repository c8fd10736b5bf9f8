/**
 * What many daemons cost each other and the platform, and how fast they agree.
 */
package org.pistachioline.bench.control;
