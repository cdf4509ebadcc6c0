package org.banyanspoke.scenarios;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards the layout of docs/design.md, section 3, against imports that point the wrong way. */
class ArchitectureTest {
    private static final String ROOT = "org.banyanspoke.";
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.banyanspoke");

    private static void noDependency(String from, String... to) {
        String[] packages = new String[to.length];
        for (int i = 0; i < to.length; i++) {
            packages[i] = ROOT + to[i] + "..";
        }
        noClasses()
                .that()
                .resideInAPackage(ROOT + from + "..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(packages)
                .check(CLASSES);
    }

    @Nested
    class DirectionOfDependency {
        @Test
        void apiDependsOnNoOtherModule() {
            noDependency(
                    "api",
                    "settings",
                    "core",
                    "kernel",
                    "peer",
                    "daemon",
                    "client",
                    "cli",
                    "standins",
                    "bench",
                    "scenarios");
        }

        @Test
        void settingsDependOnTheApiOnly() {
            noDependency(
                    "settings", "core", "kernel", "peer", "daemon", "client", "cli", "standins", "bench", "scenarios");
        }

        @Test
        void coreDependsOnTheApiOnly() {
            noDependency(
                    "core", "settings", "kernel", "peer", "daemon", "client", "cli", "standins", "bench", "scenarios");
        }

        @Test
        void daemonDoesNotKnowStandInsOrTools() {
            noDependency("daemon", "client", "cli", "standins", "bench", "scenarios");
        }

        @Test
        void toolsDoNotKnowTheDaemon() {
            noDependency("cli", "core", "kernel", "peer", "daemon", "standins", "bench", "scenarios");
            noDependency(
                    "client", "settings", "core", "kernel", "peer", "daemon", "cli", "standins", "bench", "scenarios");
            noDependency(
                    "standins", "settings", "core", "kernel", "peer", "daemon", "client", "cli", "bench", "scenarios");
        }
    }

    @Nested
    class DecisionLogic {
        @Test
        void hasNoInputOutputOrThreads() {
            noClasses()
                    .that()
                    .resideInAPackage(ROOT + "core..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("io.vertx..", "io.netty..", "io.reactivex..", "java.net..", "java.nio.file..")
                    .orShould()
                    .dependOnClassesThat()
                    .areAssignableTo(Thread.class)
                    .orShould()
                    .dependOnClassesThat()
                    .areAssignableTo(java.util.concurrent.Executor.class)
                    .check(CLASSES);
        }

        @Test
        void readsNoClockOfItsOwn() {
            noClasses()
                    .that()
                    .resideInAPackage(ROOT + "core..")
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(Instant.class, "now")
                    .check(CLASSES);
        }
    }

    @Nested
    class Internals {
        @Test
        void ofCoreAreUsedByCoreOnly() {
            noClasses()
                    .that()
                    .resideOutsideOfPackage(ROOT + "core..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage(ROOT + "core..internal..")
                    .check(CLASSES);
        }
    }
}
