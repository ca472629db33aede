package onyxpaddle;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Dependency rules: the core depends on no protocol, decision classes on no I/O and no clock, and packages have no cycles. */
class PackageRulesTest {
    private static final JavaClasses ALL = new ClassFileImporter()
        .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("onyxpaddle");
    /** Classes that make decisions, besides the packages listed in {@link #MAKES_DECISIONS}. */
    private static final Set<String> DECISION_CLASSES = Set.of(
        "onyxpaddle.RatioBalancer", "onyxpaddle.BalancerApi", "onyxpaddle.FlatSettings",
        "onyxpaddle.LatencyModel", "onyxpaddle.FailureCounter", "onyxpaddle.Quota",
        "onyxpaddle.node.SharedLimit", "onyxpaddle.node.ResourceBudget", "onyxpaddle.node.InFlightLimit",
        "onyxpaddle.node.RequestCounts", "onyxpaddle.front.StallDetector", "onyxpaddle.membership.ListWatch",
        "onyxpaddle.membership.ServerTable", "onyxpaddle.membership.ListUpdate",
        "onyxpaddle.bgp.Fsm", "onyxpaddle.bgp.Peering", "onyxpaddle.bgp.ServiceHealth",
        "onyxpaddle.bgp.AnnouncePolicy", "onyxpaddle.bgp.Prefix", "onyxpaddle.rpc.CallTable",
        "onyxpaddle.rpc.ConnectionSelector", "onyxpaddle.distribution.ConfigurationTable",
        "onyxpaddle.distribution.FullUpdatePacer", "onyxpaddle.distribution.PublisherFence",
        "onyxpaddle.distribution.UpdatePager", "onyxpaddle.distribution.UpdateAssembler",
        "onyxpaddle.distribution.ConfigurationVersion", "onyxpaddle.distribution.EntryKey",
        "onyxpaddle.distribution.Subscription", "onyxpaddle.distribution.History", "onyxpaddle.control.ServedConfiguration",
        "onyxpaddle.control.Reports", "onyxpaddle.control.FleetStatus",
        "onyxpaddle.distribution.ReplicaSelector", "onyxpaddle.distribution.ConfigurationOverlay");

    private static final DescribedPredicate<JavaClass> MAKES_DECISIONS = DescribedPredicate.describe("decide",
        c -> DECISION_CLASSES.stream().anyMatch(name -> c.getName().equals(name) || c.getName().startsWith(name + "$"))
            || c.getPackageName().equals("onyxpaddle.route") || c.getPackageName().equals("onyxpaddle.budget")
            || c.getPackageName().equals("onyxpaddle.drain") || c.getPackageName().equals("onyxpaddle.site"));

    @Test
    void coreDependsOnNoProtocolAndNoSocket() {
        noClasses().that().resideInAPackage("onyxpaddle.node").should().dependOnClassesThat()
            .resideInAnyPackage("io.netty.channel..", "io.netty.handler..", "io.netty.bootstrap..", "com.fasterxml..")
            .check(ALL);
        classes().that().resideInAPackage("onyxpaddle.node").should().onlyDependOnClassesThat(
            resideInAPackage("onyxpaddle").or(resideInAPackage("onyxpaddle.node"))
                .or(DescribedPredicate.not(resideInAPackage("onyxpaddle..")))).check(ALL);
    }

    @Test
    void protocolsAndServerListsDependOnTheCoreOnly() {
        noClasses().that().resideInAPackage("onyxpaddle.http").should().dependOnClassesThat()
            .resideInAnyPackage("onyxpaddle.membership..", "onyxpaddle.serve..", "onyxpaddle.sidecar..").check(ALL);
        noClasses().that().resideInAPackage("onyxpaddle.membership").should().dependOnClassesThat()
            .resideInAnyPackage("onyxpaddle.http..", "onyxpaddle.serve..", "onyxpaddle.sidecar..").check(ALL);
        noClasses().that().resideInAPackage("onyxpaddle.rpc").should().dependOnClassesThat()
            .resideInAnyPackage("onyxpaddle.http..", "onyxpaddle.membership..", "onyxpaddle.serve..", "onyxpaddle.sidecar..")
            .check(ALL);
        noClasses().that().resideInAPackage("onyxpaddle.http").should().dependOnClassesThat()
            .resideInAPackage("onyxpaddle.rpc..").check(ALL);
    }

    @Test
    void decisionClassesUseNoInputOrOutputAndNoClock() {
        noClasses().that(MAKES_DECISIONS).should().dependOnClassesThat()
            .resideInAnyPackage("io.netty..", "java.io..", "java.net..", "java.nio..").check(ALL);
        noClasses().that(MAKES_DECISIONS).should().callMethod(System.class, "nanoTime")
            .orShould().callMethod(System.class, "currentTimeMillis")
            .orShould().dependOnClassesThat().haveFullyQualifiedName("java.time.Clock").check(ALL);
    }

    @Test
    void onlyCommandsAndMeasurementsDependOnScaleRuns() {
        noClasses().that().resideOutsideOfPackages("onyxpaddle.scale..", "onyxpaddle.measure..", "onyxpaddle.command..").should()
            .dependOnClassesThat().resideInAPackage("onyxpaddle.scale..").check(ALL);
    }

    @Test
    void nodesDoNotDependOnTheControlProcess() {
        noClasses().that().resideOutsideOfPackages("onyxpaddle.control..", "onyxpaddle.command..", "onyxpaddle.scale..").should()
            .dependOnClassesThat().resideInAPackage("onyxpaddle.control..").check(ALL);
        classes().that().resideInAPackage("onyxpaddle.control").should().onlyDependOnClassesThat(
            resideInAPackage("onyxpaddle.control").or(resideInAPackage("onyxpaddle.distribution")).or(resideInAPackage("onyxpaddle.config"))
                .or(resideInAPackage("onyxpaddle.node")).or(DescribedPredicate.not(resideInAPackage("onyxpaddle..")))).check(ALL);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("onyxpaddle.(*)..").should().beFreeOfCycles().check(ALL);
    }
}
