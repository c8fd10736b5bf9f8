package org.pistachioline.core;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

class CorePurityTests {

	private final JavaClasses core = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
		.importPackages("org.pistachioline.core");

	@Test
	void theCoreUsesNoActorsSocketsFilesClocksOrThreads() {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("org.apache.pekko..", "io.netty..", "java.net..", "java.nio.file..", "java.time..",
					"java.util.concurrent..")
			.orShould()
			.dependOnClassesThat()
			.belongToAnyOf(Thread.class, java.util.Random.class, java.util.Timer.class)
			.check(this.core);
	}

	@Test
	void theCoreDoesNotReadTheSystemClock() {
		ArchRuleDefinition.noClasses()
			.should()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.check(this.core);
	}

}
