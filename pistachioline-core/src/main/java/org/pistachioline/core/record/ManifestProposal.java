package org.pistachioline.core.record;

import org.pistachioline.core.manifest.Manifest;

/**
 * Proposes a manifest that replaces the current configuration.
 *
 * @param baseVersion the configuration version that the author based the manifest on; the
 * proposal is rejected if it is not the current one
 * @param manifest the complete new manifest
 */
public record ManifestProposal(long baseVersion, Manifest manifest) implements RecordBody {

}
