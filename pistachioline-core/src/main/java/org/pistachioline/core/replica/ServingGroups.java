package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.route.ServiceSpec;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;

/**
 * Derives the targets of requests from the instances' reports.
 * <p>
 * A group is a target while its head is open and every member is listed, belongs to it
 * and does not leave. Heads go on taking requests for seconds after they lost a member,
 * and those requests wait for nothing; the list of members shows the loss earlier.
 */
public final class ServingGroups {

	private ServingGroups() {
	}

	/**
	 * Derives the targets.
	 * @param table the configuration in force
	 * @param instances all listed instances
	 * @param loads what instances lately told of their load, by id
	 * @return all targets, serving or not
	 */
	public static List<TargetView> targets(RouteTable table, Collection<ServingInstance> instances,
			Map<String, LoadReport> loads) {
		final List<TargetView> targets = new ArrayList<>();
		final Map<GroupId, List<ServingInstance>> groups = new HashMap<>();
		for (final ServingInstance instance : instances) {
			final Optional<ServiceSpec> service = table.service(instance.service());
			if (service.isEmpty()) {
				continue;
			}
			if (!service.get().grouped()) {
				targets.add(view(instance, TargetKind.SERVICE, instance.service(), 0, !instance.draining(), loads));
			}
			else {
				instance.membership()
					.ifPresent(
							(own) -> groups.computeIfAbsent(own.group(), (group) -> new ArrayList<>()).add(instance));
			}
		}
		groups.forEach((group, members) -> headOf(members)
			.ifPresent((head) -> targets.add(view(head, TargetKind.MODEL, targetName(head.service(), group.model()),
					group.epoch(), serves(table, head, group, members), loads))));
		return targets;
	}

	/**
	 * Names the targets of a model.
	 * @param service the service
	 * @param model the model
	 * @return the name
	 */
	public static String targetName(String service, String model) {
		return service + '/' + model;
	}

	private static Optional<ServingInstance> headOf(List<ServingInstance> members) {
		return members.stream().filter((member) -> member.membership().orElseThrow().rank() == 0).findFirst();
	}

	private static boolean serves(RouteTable table, ServingInstance head, GroupId group,
			List<ServingInstance> members) {
		final Optional<EngineModel> model = table.service(head.service())
			.flatMap(ServiceSpec::engine)
			.flatMap((engine) -> engine.model(group.model()));
		return model.isPresent() && head.membership().orElseThrow().state() == MemberState.OPEN
				&& members.size() == model.get().members() && members.stream().noneMatch(ServingInstance::draining);
	}

	private static TargetView view(ServingInstance instance, TargetKind kind, String name, long epoch, boolean serving,
			Map<String, LoadReport> loads) {
		final LoadReport load = loads.getOrDefault(instance.id(), LoadReport.NONE);
		return new TargetView(instance.id() + '@' + epoch, kind, name, instance.address(), epoch,
				instance.availabilityZone(), serving, Math.max(1, instance.slots()), load.running(), load.waiting(),
				load.receivedAtNanos());
	}

}
