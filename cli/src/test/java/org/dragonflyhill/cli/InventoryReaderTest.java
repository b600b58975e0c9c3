package org.dragonflyhill.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.dragonflyhill.core.ConfigurationObject;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link InventoryReader}. */
public final class InventoryReaderTest {

  private static final String ZONES = "availability_zones: [{name: rancagua, region: centro}]\n";

  /** Names of the example inventories of the project. */
  @DataProvider
  public Object[][] examples() {
    return new Object[][] {{"riquelme"}, {"strunova"}};
  }

  @Test(dataProvider = "examples")
  public void readsExampleInventory(String name) throws IOException {
    Path file = Path.of("..", "examples", name + ".yaml");
    var result = InventoryReader.read(file.toString(), Files.readString(file));
    assertEquals(result.errors().toString(), "[]");
    assertEquals(count(result, ConfigurationObject.Runner.class), 8);
    assertEquals(count(result, ConfigurationObject.Store.class), 2);
    assertEquals(count(result, ConfigurationObject.Organisation.class), 10);
  }

  @Test
  public void errorNamesFilePathValueAndExpectedType() {
    var result = InventoryReader.read("i.yaml", ZONES + "organisations: [{name: a, share: x}]");
    assertTrue(
        result.errors().contains("i.yaml: organisations[0].share: \"x\": expected a whole number"),
        result.errors().toString());
  }

  @Test
  public void reportsAllErrorsAtOnce() {
    var result = InventoryReader.read("i.yaml", "organisations: [{name: a}, {nam: b}]\nrunner: []");
    assertEquals(result.errors().size(), 9, result.errors().toString());
  }

  @Test
  public void refusesUnknownField() {
    var result =
        InventoryReader.read(
            "i.yaml", "availability_zones: [{name: rancagua, region: centro, colour: red}]");
    assertEquals(
        result.errors().toString(),
        "[i.yaml: availability_zones[0].colour: \"red\": no such field]");
  }

  @Test
  public void refusesReferenceToMissingObject() {
    var result =
        InventoryReader.read(
            "i.yaml",
            ZONES + "applications: [{name: a, organisation: b, availability_zone: rancagua}]");
    assertEquals(result.errors().size(), 1, result.errors().toString());
    assertTrue(result.errors().getFirst().contains("APPLICATION/a.organisation: \"b\""));
  }

  @Test
  public void refusesInvalidYaml() {
    var result = InventoryReader.read("i.yaml", "a: [");
    assertTrue(result.errors().getFirst().startsWith("i.yaml: not valid YAML or JSON"));
  }

  private static long count(InventoryReader.Result result, Class<?> type) {
    return result.objects().stream().filter(type::isInstance).count();
  }
}
