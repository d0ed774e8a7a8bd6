package cobaltrack;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Which package may know which: {@code docs/design.md} says why. */
class PackagesTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("cobaltrack");

    @Test
    void decisionsDependOnNothingButTheContract() {
        noClasses().that().resideInAPackage("cobaltrack.decide..").should().dependOnClassesThat()
                .resideOutsideOfPackages("cobaltrack", "cobaltrack.decide..", "java.lang..", "java.util",
                        "java.util.function", "java.util.stream")
                .check(CLASSES);
    }

    @Test
    void admissionDependsOnNothing() {
        noClasses().that().resideInAPackage("cobaltrack.admit..").should().dependOnClassesThat()
                .resideOutsideOfPackages("cobaltrack.admit..", "java.lang..", "java.util", "java.util.function",
                        "java.util.stream")
                .check(CLASSES);
    }

    @Test
    void whatAGroupAgreesOnDoesNoInputOrOutput() {
        noClasses().that().resideInAPackage("cobaltrack.copies").should().dependOnClassesThat()
                .resideOutsideOfPackages("cobaltrack.copies", "cobaltrack.consult", "cobaltrack.engine",
                        "java.lang..", "java.util", "java.util.function", "java.util.stream")
                .check(CLASSES);
        noClasses().that().resideInAPackage("cobaltrack.copies.raft").should().dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio..", "io.netty..", "io.grpc..", "cobaltrack.copies.net",
                        "cobaltrack.copies.disk", "cobaltrack.loop..", "cobaltrack.run..")
                .check(CLASSES);
    }

    @Test
    void whatTheMeshDecidesDoesNoInputOrOutput() {
        noClasses().that().resideInAnyPackage("cobaltrack.post.ballot", "cobaltrack.post.directory",
                "cobaltrack.post.allowance").should().dependOnClassesThat()
                .resideOutsideOfPackages("cobaltrack.post.ballot", "cobaltrack.post.directory",
                        "cobaltrack.post.allowance", "java.lang..", "java.util", "java.util.function",
                        "java.util.stream")
                .check(CLASSES);
        noClasses().that().haveSimpleName("Hatch").or().haveSimpleName("Postage").or()
                .haveFullyQualifiedName("cobaltrack.post.carrier.Classes").should().dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.io..", "java.nio..", "io.netty..")
                .check(CLASSES);
    }

    @Test
    void thePlannerDependsOnTheEngineAndTheDecisionsAndOnNothingElse() {
        noClasses().that().resideInAPackage("cobaltrack.plan").should().dependOnClassesThat()
                .resideOutsideOfPackages("cobaltrack", "cobaltrack.plan", "cobaltrack.decide",
                        "cobaltrack.engine", "cobaltrack.membership", "java.lang..", "java.util", "java.util.function", "java.util.stream")
                .check(CLASSES);
    }

    @Test
    void theEngineKnowsNoProtocolLoopOrModule() {
        noClasses().that().resideInAPackage("cobaltrack.engine..").should().dependOnClassesThat()
                .resideOutsideOfPackages("cobaltrack", "cobaltrack.engine..", "cobaltrack.membership..",
                        "java.lang..", "java.util..")
                .check(CLASSES);
    }

    @Test
    void frontsAndTransportsKnowNothingOfEachOther() {
        noClasses().that().resideInAPackage("cobaltrack.front..").should().dependOnClassesThat()
                .resideInAnyPackage("cobaltrack.transport..", "cobaltrack.decide..", "cobaltrack.run..")
                .check(CLASSES);
        noClasses().that().resideInAPackage("cobaltrack.transport..").should().dependOnClassesThat()
                .resideInAnyPackage("cobaltrack.front..", "cobaltrack.decide..", "cobaltrack.run..")
                .check(CLASSES);
    }

    @Test
    void nothingThatASidecarRunsNeedsTheStandInsButTheCommandLine() {
        noClasses().that().resideOutsideOfPackages("cobaltrack.standin..", "cobaltrack.run..").should()
                .dependOnClassesThat().resideInAPackage("cobaltrack.standin..").check(CLASSES);
    }

    @Test
    void noPackagesGoRoundInCircles() {
        slices().matching("cobaltrack.(**)").should().beFreeOfCycles().check(CLASSES);
    }
}
