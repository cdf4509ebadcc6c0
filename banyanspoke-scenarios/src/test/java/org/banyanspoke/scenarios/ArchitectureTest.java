package org.banyanspoke.scenarios;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks that module dependencies follow docs/design.md, section 3. */
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
    class ModuleDependencies {
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
        void daemonDoesNotDependOnSimulatorsOrTools() {
            noDependency("daemon", "client", "cli", "standins", "bench", "scenarios");
        }

        @Test
        void toolsDoNotDependOnTheDaemon() {
            noDependency("cli", "core", "kernel", "peer", "daemon", "standins", "bench", "scenarios");
            noDependency(
                    "client", "settings", "core", "kernel", "peer", "daemon", "cli", "standins", "bench", "scenarios");
            noDependency(
                    "standins", "settings", "core", "kernel", "peer", "daemon", "client", "cli", "bench", "scenarios");
        }
    }

    /** Names of the platform's wire protocol occur only in the module platform. */
    @Nested
    class PlatformProtocolNames {
        private static final Pattern NAMES = Pattern.compile(
                "run-start|run-stop|log-append|log-newest|log-read|fencing_token|ack_cursor|est_runtime_ms|"
                        + "X-Banyanspoke|BANYANSPOKE_SETTINGS|path_prefix|keyed\\.");

        @Test
        void occurInNoOtherModule() throws IOException {
            Path root = Path.of("").toAbsolutePath();
            while (!Files.exists(root.resolve("platform/pom.xml"))) {
                root = root.getParent();
            }
            Path top = root;
            try (Stream<Path> files = Files.walk(top)) {
                List<Path> found = files.filter(file -> file.toString().endsWith(".java"))
                        .filter(file -> file.toString().contains("/src/main/"))
                        .filter(file -> !file.startsWith(top.resolve("platform")))
                        .filter(PlatformProtocolNames::containsAName)
                        .toList();
                assertThat(found).isEmpty();
            }
        }

        private static boolean containsAName(Path file) {
            try {
                return NAMES.matcher(Files.readString(file)).find();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Test
        void adapterDoesNotDependOnDecisionLogic() {
            noDependency("platform", "core.ownership", "core.pool.internal", "peer", "daemon", "host");
        }

        @Test
        void coreDoesNotDependOnTheAdapter() {
            noDependency("core", "platform", "host");
        }
    }

    @Nested
    class DecisionLogic {
        @Test
        void doesNotUseIoOrThreads() {
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
        void doesNotReadTheSystemClock() {
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
    class InternalPackages {
        @Test
        void ofCoreAreUsedOnlyByCore() {
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
