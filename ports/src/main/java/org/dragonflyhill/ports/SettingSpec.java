package org.dragonflyhill.ports;

import java.util.Locale;
import java.util.Optional;

/**
 * One setting: a flag and an environment variable of the same name.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param name name of the flag, such as {@code http-port}
 * @param defaultValue value where none is given; empty for a required setting
 * @param description what it does, with unit
 * @param isSecret whether its value is masked when printed
 */
public record SettingSpec(
    String name, Optional<String> defaultValue, String description, boolean isSecret) {

  /** Returns a setting that must be given. */
  public static SettingSpec required(String name, String description) {
    return new SettingSpec(name, Optional.empty(), description, false);
  }

  /** Returns a setting with a default value. */
  public static SettingSpec optional(String name, String defaultValue, String description) {
    return new SettingSpec(name, Optional.of(defaultValue), description, false);
  }

  /** Returns a required setting whose value is masked when printed. */
  public static SettingSpec secret(String name, String description) {
    return new SettingSpec(name, Optional.empty(), description, true);
  }

  /** Returns the name of the environment variable, such as {@code DRAGONFLYHILL_HTTP_PORT}. */
  public String environmentVariable() {
    return "DRAGONFLYHILL_" + name.toUpperCase(Locale.ROOT).replace('-', '_');
  }
}
