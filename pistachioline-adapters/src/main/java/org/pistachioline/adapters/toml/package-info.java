/**
 * Reading of TOML settings and manifests, with every fault named at once.
 */
package org.pistachioline.adapters.toml;
