package org.pistachioline.adapters.http;

import java.util.Map;

import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.slf4j.LoggerFactory;

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
		return create(name, Map.of());
	}

	/**
	 * Creates an actor system with some of Pekko's settings of its own.
	 * @param name its name
	 * @param overrides values by their paths, which go before the project's defaults
	 * @return the actor system, to be terminated by the caller
	 */
	public static ActorSystem<Void> create(String name, Map<String, Object> overrides) {
		// Logging must be ready before Pekko's threads log at once, or their first lines
		// are lost.
		LoggerFactory.getILoggerFactory();
		return ActorSystem.create(Behaviors.empty(), name,
				ConfigFactory.parseMap(overrides).withFallback(ConfigFactory.load("pistachioline")));
	}

}
