/**
 * The replicated state of the configuration and fleet streams, and the deterministic
 * reducers that compute it from their records.
 */
package org.pistachioline.core.state;
