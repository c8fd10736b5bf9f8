/**
 * What a daemon adds between callers and engines.
 */
package org.pistachioline.bench.relay;
