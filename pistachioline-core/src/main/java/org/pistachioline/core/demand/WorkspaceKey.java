package org.pistachioline.core.demand;

/**
 * The requests of one workspace for one model or service.
 *
 * @param workspace the workspace
 * @param name the model's or the service's name, as in the requests
 */
public record WorkspaceKey(String workspace, String name) {

}
