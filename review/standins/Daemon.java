import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the deploy file's role, with its settings file in a temporary folder. */
final class Daemon {

	final String name;

	final String frontend;

	final String ready;

	final String control;

	final Path log;

	private final Path settings;

	private final String settingsText;

	private Process process;

	Daemon(Path folder, String name, String ip, String zone, String store, List<String> seeds, boolean bootstrap)
			throws IOException {
		this.name = name;
		this.log = folder.resolve(name + ".log");
		this.settings = folder.resolve(name + ".json");
		this.frontend = ip + ":" + freePort();
		this.ready = ip + ":" + freePort();
		this.control = ip + ":" + freePort();
		final String directory = ip + ":" + freePort();
		final int internal = freePort();
		this.settingsText = "{\"NodeName\":\"" + name + "\",\"Role\":\"daemon\",\"MachineClass\":\"edge\",\"Serves\":[\"edge\",\"control_plane\",\"registry\"],"
				+ "\"Ip\":\"" + ip + "\",\"Zone\":\"" + zone + "\",\"Region\":\"reg\",\"Zones\":{\"zone-a\":\"reg\"},\"Listen\":{\"Frontend\":\""
				+ this.frontend + "\",\"Ready\":\"" + this.ready + "\",\"Control\":\"" + this.control
				+ "\",\"Directory\":\"" + directory + "\"},\"InternalPorts\":[" + internal + "," + internal
				+ "],\"AdminPort\":" + freePort() + ",\"Seeds\":["
				+ String.join(",", seeds.stream().map((seed) -> "\"" + seed + "\"").toList()) + "],\"Bootstrap\":"
				+ bootstrap + ",\"LossCounts\":false,\"Limits\":{\"CpuFraction\":0.75,\"Cores\":1,\"MemoryMb\":430,\"MaxFds\":4200,\"LinkMbps\":1000.0,\"DiskMb\":0},"
				+ "\"DataDir\":null,\"Discovery\":\"platform\",\"Entry\":\"registry\",\"HeartbeatMs\":1200,"
				+ "\"Contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"gangs\"],"
				+ "\"FaultTolerance\":{\"Machines\":2,\"Zones\":0,\"Regions\":0},\"Bounds\":{\"SeedLagS\":3,\"ReuseAfterS\":2,\"StableWindowMs\":3000,\"AckMs\":4000,\"CatchUpS\":4,\"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,\"ConfigApplyMs\":2000,\"RollbackSlackMs\":250,\"MaxStretchMs\":5000,\"StrictRevocation\":false,\"RevokeMs\":5000,\"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10,\"RetryBurst\":103,\"RecoverS\":12,\"PassMs\":120,\"RetryAfterS\":0,\"StallMs\":6000,\"FencingEnforced\":true,\"CeilingWindowS\":5,\"CeilingOverage\":1.1,\"ttl_max_s\":5},"
				+ "\"Platform\":{\"Address\":\"" + store + "\",\"form\":\"log\",\"WritesPerS\":400,\"ReadsPerS\":2000,\"parts\":12,\"AppendMs\":2.0,\"PartitionMbS\":20.0,\"ReadMbS\":80.0,\"RecordBytes\":262144,\"CallBytes\":2097152,\"keep_s\":300,\"PartMb\":200,\"TtlMinMs\":1000}}";
	}

	static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	/** Starts the deploy file's run command in the repository's root. */
	void start() throws IOException {
		Files.writeString(this.settings, this.settingsText);
		final Matcher run = Pattern.compile("(?m)^run = \"([^\"]+)\"").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no run command");
		}
		final ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.group(1).split(" "))));
		final String path = System.getenv("PATH");
		final String home = System.getenv("HOME");
		final String javaHome = System.getenv("JAVA_HOME");
		builder.environment().clear();
		builder.environment().put("PATH", path);
		if (home != null) {
			builder.environment().put("HOME", home);
		}
		if (javaHome != null) {
			builder.environment().put("JAVA_HOME", javaHome);
		}
		builder.environment().put("LANG", "C.UTF-8");
		builder.environment().put("PISTACHIOLINE_SETTINGS", this.settings.toString());
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(new File(this.log.toString())));
		this.process = builder.start();
	}

	boolean alive() {
		return this.process.isAlive();
	}

	int exitCode() {
		return this.process.exitValue();
	}

	long pid() {
		return this.process.pid();
	}

	void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	void end() throws InterruptedException {
		if (this.process != null) {
			this.process.destroyForcibly();
			this.process.waitFor();
		}
	}

}
