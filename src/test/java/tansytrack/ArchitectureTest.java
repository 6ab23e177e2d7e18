package tansytrack;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

/**
 * Which package may know which: the table of arrows, and that modules that decide touch nothing
 * outside.
 */
class ArchitectureTest {

  private static final JavaClasses PROGRAM =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("tansytrack");

  @Test
  void arrowsPointOneWay() {
    layeredArchitecture()
        .consideringOnlyDependenciesInLayers()
        .layer("main")
        .definedBy("tansytrack")
        .layer("api")
        .definedBy("tansytrack.api")
        .layer("parts")
        .definedBy("tansytrack.util")
        .layer("policy")
        .definedBy("tansytrack.policy")
        .layer("settings")
        .definedBy("tansytrack.settings")
        .layer("wire")
        .definedBy("tansytrack.wire")
        .layer("state")
        .definedBy("tansytrack.state")
        .layer("service")
        .definedBy("tansytrack.service")
        .layer("adapter")
        .definedBy("tansytrack.adapter")
        .layer("operator")
        .definedBy("tansytrack.operator", "tansytrack.operator.proto")
        .layer("ledger")
        .definedBy("tansytrack.ledger")
        .layer("ledger.disk")
        .definedBy("tansytrack.ledger.disk", "tansytrack.ledger.proto")
        .layer("fleet")
        .definedBy("tansytrack.fleet")
        .layer("fleet.udp")
        .definedBy("tansytrack.fleet.udp", "tansytrack.fleet.proto")
        .layer("log")
        .definedBy("tansytrack.log")
        .layer("lab")
        .definedBy("tansytrack.lab..")
        .whereLayer("lab")
        .mayOnlyBeAccessedByLayers("main")
        .whereLayer("policy")
        .mayOnlyBeAccessedByLayers("main", "lab")
        .whereLayer("adapter")
        .mayOnlyBeAccessedByLayers("main")
        .whereLayer("service")
        .mayOnlyBeAccessedByLayers("main")
        .whereLayer("ledger.disk")
        .mayOnlyBeAccessedByLayers("main", "service", "lab")
        .whereLayer("operator")
        .mayOnlyBeAccessedByLayers("main", "service", "ledger.disk", "fleet.udp", "lab")
        .whereLayer("ledger")
        .mayOnlyBeAccessedByLayers("main", "service", "ledger.disk", "operator", "lab")
        .whereLayer("fleet")
        .mayOnlyBeAccessedByLayers("fleet.udp", "lab")
        .whereLayer("fleet.udp")
        .mayOnlyBeAccessedByLayers("service", "lab")
        .whereLayer("state")
        .mayOnlyBeAccessedByLayers("service", "ledger.disk", "fleet.udp", "lab")
        .whereLayer("wire")
        .mayOnlyBeAccessedByLayers("state", "service", "lab")
        .whereLayer("log")
        .mayOnlyBeAccessedByLayers(
            "service", "ledger.disk", "fleet.udp", "state", "wire", "lab", "main")
        .check(PROGRAM);
  }

  @Test
  void whatDecidesTouchesNothingOutside() {
    ArchRuleDefinition.noClasses()
        .that()
        .resideInAnyPackage(
            "tansytrack.ledger",
            "tansytrack.fleet",
            "tansytrack.lab.load",
            "tansytrack.lab.scale",
            "tansytrack.lab.simulation",
            "tansytrack.api",
            "tansytrack.util",
            "tansytrack.policy")
        .or()
        .haveFullyQualifiedName("tansytrack.Decide")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io",
            "java.nio..",
            "java.net..",
            "java.sql..",
            "java.util.concurrent..",
            "org.tinylog..",
            "org.sqlite..",
            "com.google.protobuf..",
            "tansytrack.state",
            "tansytrack.wire",
            "tansytrack.service")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(java.time.Instant.class, "now")
        .check(PROGRAM);
  }
}
