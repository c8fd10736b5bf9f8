package org.pistachioline.core.record;

import org.pistachioline.core.manifest.Manifest;

/**
 * Proposes a manifest on top of the version that its author saw.
 *
 * @param baseVersion the version that it replaces
 * @param manifest the new manifest, whole
 */
public record ManifestProposal(long baseVersion, Manifest manifest) implements RecordBody {

}
