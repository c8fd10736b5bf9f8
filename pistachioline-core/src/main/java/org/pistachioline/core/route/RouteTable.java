package org.pistachioline.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * An immutable configuration of routes, services and keys, which is replaced as a whole.
 * <p>
 * Configurations have several hundred routes and change several times per second. The
 * routes of a host are sorted by descending prefix length, so that finding a route takes
 * one lookup of the host and one pass over its routes.
 */
public final class RouteTable {

	/** The table before any configuration is known, with version 0 and no routes. */
	public static final RouteTable UNKNOWN = new RouteTable(0, List.of(), List.of(), List.of(), CallerBounds.DEFAULT);

	private final long version;

	private final Map<String, List<Route>> routesByHost = new HashMap<>();

	private final Map<String, ServiceSpec> services = new HashMap<>();

	private final List<WorkspaceApiKeys> workspaceApiKeys;

	private final CallerBounds callerBounds;

	/**
	 * Creates a table.
	 * @param version the configuration's version
	 * @param routes the routes
	 * @param services the services
	 * @param workspaceApiKeys the workspaces with their keys
	 * @param callerBounds the bounds on callers' requests
	 */
	public RouteTable(long version, List<Route> routes, List<ServiceSpec> services,
			List<WorkspaceApiKeys> workspaceApiKeys, CallerBounds callerBounds) {
		this.version = version;
		this.workspaceApiKeys = List.copyOf(workspaceApiKeys);
		this.callerBounds = callerBounds;
		services.forEach((service) -> this.services.put(service.name(), service));
		routes.forEach((route) -> this.routesByHost.computeIfAbsent(nameOf(route.host()), (host) -> new ArrayList<>())
			.add(route));
		this.routesByHost.values()
			.forEach((list) -> list
				.sort(Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed()));
	}

	/**
	 * Finds the route of a request, which is the one with the longest matching prefix
	 * among those of the host.
	 * @param host the host that the caller named, with or without a port and a final dot
	 * @param path the path as sent, without the query
	 * @return the route, if there is one
	 */
	public Optional<Route> route(String host, String path) {
		final int colon = host.indexOf(':');
		final String name = (colon >= 0) ? host.substring(0, colon) : host;
		for (final Route route : this.routesByHost.getOrDefault(nameOf(name), List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	// A final dot marks a name as complete; names are equal in any case.
	private static String nameOf(String host) {
		final String name = host.endsWith(".") ? host.substring(0, host.length() - 1) : host;
		return name.toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns how the cold instances of each service behave.
	 * @return the declarations, by the name of the service
	 */
	public Map<String, ColdStart> coldStarts() {
		final Map<String, ColdStart> declared = new HashMap<>();
		this.services.values()
			.forEach(
					(service) -> service.coldStart().ifPresent((coldStart) -> declared.put(service.name(), coldStart)));
		return declared;
	}

	/**
	 * Finds a service by its name.
	 * @param name the service's name
	 * @return the service, if it is declared
	 */
	public Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the configuration's version.
	 * @return the version; 0 where none is known
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns whether a configuration is known.
	 * @return whether the version is above 0
	 */
	public boolean isKnown() {
		return this.version > 0;
	}

	/**
	 * Returns the workspaces with their keys.
	 * @return the workspaces; empty where requests need no key
	 */
	public List<WorkspaceApiKeys> workspaceApiKeys() {
		return this.workspaceApiKeys;
	}

	/**
	 * Returns all configured services.
	 * @return the services, in no order
	 */
	public List<ServiceSpec> services() {
		return List.copyOf(this.services.values());
	}

	/**
	 * Returns the bounds on callers' requests.
	 * @return the bounds
	 */
	public CallerBounds callerBounds() {
		return this.callerBounds;
	}

}
