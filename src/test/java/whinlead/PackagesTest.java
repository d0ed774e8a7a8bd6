package whinlead;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Which package may depend on which; {@code docs/design.md} gives the reasons. */
class PackagesTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("whinlead");

    @Test
    void decisionsDependOnNothingButTheContract() {
        noClasses()
                .that()
                .resideInAPackage("whinlead.decide..")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages(
                        "whinlead",
                        "whinlead.decide..",
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.stream")
                .check(CLASSES);
    }

    @Test
    void admissionDependsOnNothing() {
        noClasses()
                .that()
                .resideInAPackage("whinlead.admit..")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages(
                        "whinlead.admit..", "java.lang..", "java.util", "java.util.function", "java.util.stream")
                .check(CLASSES);
    }

    @Test
    void replicationDoesNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAPackage("whinlead.replication")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages(
                        "whinlead.replication",
                        "whinlead.consult",
                        "whinlead.engine",
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.stream")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAPackage("whinlead.replication.raft")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..",
                        "java.nio..",
                        "io.netty..",
                        "io.grpc..",
                        "whinlead.replication.net",
                        "whinlead.replication.disk",
                        "whinlead.loop..",
                        "whinlead.run..")
                .check(CLASSES);
    }

    @Test
    void meshDecisionsDoNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "whinlead.mesh.consensus",
                        "whinlead.mesh.registry",
                        "whinlead.mesh.departure",
                        "whinlead.mesh.quota",
                        "whinlead.mesh.duty",
                        "whinlead.mesh.keys")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages(
                        "whinlead.mesh.consensus",
                        "whinlead.mesh.registry",
                        "whinlead.mesh.departure",
                        "whinlead.mesh.quota",
                        "whinlead.mesh.duty",
                        "whinlead.mesh.keys",
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.stream")
                .check(CLASSES);
        noClasses()
                .that()
                .haveSimpleName("EndpointGate")
                .or()
                .haveSimpleName("RetryBudget")
                .or()
                .haveFullyQualifiedName("whinlead.mesh.sidecar.RequestClasses")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.io..", "java.nio..", "io.netty..")
                .check(CLASSES);
    }

    @Test
    void plannerDependsOnEngineAndDecisionsOnly() {
        noClasses()
                .that()
                .resideInAPackage("whinlead.plan")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages(
                        "whinlead",
                        "whinlead.plan",
                        "whinlead.decide",
                        "whinlead.engine",
                        "whinlead.membership",
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.stream")
                .check(CLASSES);
    }

    @Test
    void engineDependsOnNoProtocolLoopOrModule() {
        noClasses()
                .that()
                .resideInAPackage("whinlead.engine..")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages(
                        "whinlead", "whinlead.engine..", "whinlead.membership..", "java.lang..", "java.util..")
                .check(CLASSES);
    }

    @Test
    void frontsAndTransportsAreIndependent() {
        noClasses()
                .that()
                .resideInAPackage("whinlead.front..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("whinlead.transport..", "whinlead.decide..", "whinlead.run..")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAPackage("whinlead.transport..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("whinlead.front..", "whinlead.decide..", "whinlead.run..")
                .check(CLASSES);
    }

    @Test
    void onlyTheCommandLineDependsOnTheTestbed() {
        noClasses()
                .that()
                .resideOutsideOfPackages("whinlead.testbed..", "whinlead.run..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("whinlead.testbed..")
                .check(CLASSES);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("whinlead.(**)").should().beFreeOfCycles().check(CLASSES);
    }
}
