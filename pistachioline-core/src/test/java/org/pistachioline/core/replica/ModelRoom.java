package org.pistachioline.core.replica;

/**
 * How much room a model has had during a {@link FleetChurn}.
 */
final class ModelRoom {

	/** Sum over all steps of the instances that served the model. */
	long servingInstanceSteps;

	/** Sum over the last steps of the instances that served the model. */
	long recentInstanceSteps;

	void addStep(int servingInstances) {
		this.servingInstanceSteps += servingInstances;
		this.recentInstanceSteps += servingInstances;
	}

	void startRecentSteps() {
		this.recentInstanceSteps = 0;
	}

}
