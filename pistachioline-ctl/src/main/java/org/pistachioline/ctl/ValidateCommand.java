package org.pistachioline.ctl;

import java.io.IOException;
import java.util.Optional;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

import org.pistachioline.core.record.ManifestProposal;

/**
 * Checks a manifest and names every fault.
 */
final class ValidateCommand implements Command {

	@Override
	public String name() {
		return "validate";
	}

	@Override
	public String summary() {
		return "MANIFEST.toml: check a manifest, naming every fault";
	}

	@Override
	public ExitCode run(String[] args) throws IOException {
		final OptionParser parser = new OptionParser();
		parser.accepts("help", "print this help").forHelp();
		parser.nonOptions("the manifest");
		final OptionSet options = parser.parse(args);
		if (options.has("help")) {
			parser.printHelpOn(System.out);
			return ExitCode.DONE;
		}
		if (options.nonOptionArguments().size() != 1) {
			System.err.println("validate: exactly one manifest is needed");
			return ExitCode.USAGE;
		}
		final Optional<ManifestProposal> proposal = Manifests.read((String) options.nonOptionArguments().get(0));
		if (proposal.isEmpty()) {
			return ExitCode.USAGE;
		}
		System.out.println("valid, on base version " + proposal.get().baseVersion());
		return ExitCode.DONE;
	}

}
