package org.dragonflyhill.ports;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests of {@link SettingValues}. */
public final class SettingValuesTest {

  private static final List<SettingSpec> SPECS =
      List.of(
          SettingSpec.optional("http-port", "8080", "port"),
          SettingSpec.required("log", "address"),
          SettingSpec.secret("secret", "key"));

  private static SettingValues read(Map<String, String> environment, String... flags) {
    return SettingValues.read(SPECS, flags, environment);
  }

  @Test
  public void flagOverridesEnvironmentVariable() {
    var values = read(Map.of("DRAGONFLYHILL_HTTP_PORT", "1000"), "--http-port=2000");
    assertEquals(values.integer("http-port", 0, 65_535), 2_000);
  }

  @Test
  public void environmentVariableOverridesDefault() {
    var values = read(Map.of("DRAGONFLYHILL_HTTP_PORT", "1000"));
    assertEquals(values.integer("http-port", 0, 65_535), 1_000);
  }

  @Test
  public void reportsAllErrorsAtOnce() {
    SettingValues values = read(Map.of(), "--http-port=x");
    values.integer("http-port", 0, 65_535);
    assertEquals(values.errors().size(), 3, values.errors().toString());
  }

  @Test
  public void masksSecretsWhenPrinted() {
    SettingValues values = read(Map.of(), "--log=a:1", "--secret=very secret indeed");
    assertFalse(values.printableText().contains("very secret"), values.printableText());
    assertTrue(values.printableText().contains("DRAGONFLYHILL_LOG=a:1"), values.printableText());
  }

  @Test
  public void rejectsUnknownFlag() {
    assertFalse(read(Map.of(), "--colour=red").errors().isEmpty());
  }
}
