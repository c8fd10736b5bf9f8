package org.pistachioline.adapters.http;

import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/**
 * Creates the actor system of a process with the project's own defaults.
 */
public final class ActorSystems {

	private ActorSystems() {
	}

	/**
	 * Creates an actor system.
	 * @param name its name
	 * @return the actor system, to be terminated by the caller
	 */
	public static ActorSystem<Void> create(String name) {
		return ActorSystem.create(Behaviors.empty(), name, ConfigFactory.load("pistachioline"));
	}

}
