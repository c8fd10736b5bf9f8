package org.pistachioline.core.replica;

/**
 * A combination of faults, besides failed instances, under which orders take effect late.
 */
enum LateOrderWorld {

	/**
	 * Instances restart under the same id, late orders follow them, and orders overtake.
	 */
	RESTARTS {

		@Override
		void applyTo(ReplicaSimulation simulation) {
			simulation.restartsKeepId = true;
			simulation.crossingOrders = true;
		}

	},

	/**
	 * Answers are known late, and only orders that begin something raise the fence.
	 */
	ANSWERS {

		@Override
		void applyTo(ReplicaSimulation simulation) {
			simulation.crossingOrders = true;
			simulation.lateAnswers = true;
			simulation.onlyEffectsRaiseFence = true;
		}

	},

	/** The store loses instances that late orders reach, and stands still at times. */
	STORE {

		@Override
		void applyTo(ReplicaSimulation simulation) {
			simulation.cutsDuringLateOrders = true;
			simulation.listGapsAfterOutages = true;
		}

	},

	/**
	 * The lease lapses, is kept through changes of the term, and changes hands quickly.
	 */
	LEASE {

		@Override
		void applyTo(ReplicaSimulation simulation) {
			simulation.leaseLapses = true;
			simulation.leaseKeptThroughTerms = true;
			simulation.rapidPlannerChanges = true;
			simulation.restartsKeepId = true;
		}

	},

	/** All faults but the cuts, under which hardly a group serves. */
	MOST {

		@Override
		void applyTo(ReplicaSimulation simulation) {
			RESTARTS.applyTo(simulation);
			LEASE.applyTo(simulation);
			simulation.lateAnswers = true;
			simulation.listGapsAfterOutages = true;
		}

	};

	abstract void applyTo(ReplicaSimulation simulation);

}
