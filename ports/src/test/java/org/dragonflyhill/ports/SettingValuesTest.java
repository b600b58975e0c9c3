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
  public void flagGoesBeforeEnvironmentVariable() {
    var values = read(Map.of("DRAGONFLYHILL_HTTP_PORT", "1000"), "--http-port=2000");
    assertEquals(values.integer("http-port", 0, 65_535), 2_000);
  }

  @Test
  public void environmentVariableGoesBeforeDefault() {
    var values = read(Map.of("DRAGONFLYHILL_HTTP_PORT", "1000"));
    assertEquals(values.integer("http-port", 0, 65_535), 1_000);
  }

  @Test
  public void reportsAllFaultsAtOnce() {
    SettingValues values = read(Map.of(), "--http-port=x");
    values.integer("http-port", 0, 65_535);
    assertEquals(values.faults().size(), 3, values.faults().toString());
  }

  @Test
  public void masksSecretsWhenPrinted() {
    SettingValues values = read(Map.of(), "--log=a:1", "--secret=very secret indeed");
    assertFalse(values.printed().contains("very secret"), values.printed());
    assertTrue(values.printed().contains("DRAGONFLYHILL_LOG=a:1"), values.printed());
  }

  @Test
  public void refusesUnknownFlag() {
    assertFalse(read(Map.of(), "--colour=red").faults().isEmpty());
  }
}
