package org.dragonflyhill.ports;

import java.util.Locale;
import java.util.Optional;

/**
 * Definition of a setting, which can be given as a flag or as an environment variable.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param name name of the flag, such as {@code http-port}
 * @param defaultValue value if the setting is not given; empty for a required setting
 * @param description description for the help text, with the unit of the value
 * @param isSecret whether the value is masked when settings are printed
 */
public record SettingSpec(
    String name, Optional<String> defaultValue, String description, boolean isSecret) {

  /** Returns a required setting. */
  public static SettingSpec required(String name, String description) {
    return new SettingSpec(name, Optional.empty(), description, false);
  }

  /** Returns a setting with a default value. */
  public static SettingSpec optional(String name, String defaultValue, String description) {
    return new SettingSpec(name, Optional.of(defaultValue), description, false);
  }

  /** Returns a required setting whose value is masked when settings are printed. */
  public static SettingSpec secret(String name, String description) {
    return new SettingSpec(name, Optional.empty(), description, true);
  }

  /** Returns the name of the environment variable, such as {@code DRAGONFLYHILL_HTTP_PORT}. */
  public String environmentVariable() {
    return "DRAGONFLYHILL_" + name.toUpperCase(Locale.ROOT).replace('-', '_');
  }
}
