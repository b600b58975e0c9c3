package org.dragonflyhill.cli;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;

/**
 * Environment variables that give the values of flags that are not on the command line.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param variables values of the environment variables by name
 */
record Environment(Map<String, String> variables) {

  /** Copies the map to keep the record immutable. */
  Environment {
    variables = Map.copyOf(variables);
  }

  /**
   * Returns the value of a flag, or else of its environment variable, for example {@code
   * DRAGONFLYHILL_LOG} for {@code --log}. An empty value counts as absent.
   */
  Optional<String> value(CommandLine line, String flag) {
    String variable = "DRAGONFLYHILL_" + flag.toUpperCase(Locale.ROOT).replace('-', '_');
    return Optional.ofNullable(line.getOptionValue(flag))
        .or(() -> Optional.ofNullable(variables.get(variable)))
        .filter(value -> !value.isEmpty());
  }
}
