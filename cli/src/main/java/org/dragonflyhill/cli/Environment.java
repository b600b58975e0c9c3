package org.dragonflyhill.cli;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;

/**
 * Environment variables that stand in for flags of the same name.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param variables the variables
 */
record Environment(Map<String, String> variables) {

  /** Copies the map so that the record stays immutable. */
  Environment {
    variables = Map.copyOf(variables);
  }

  /** Returns the value of a flag, or of its environment variable. */
  Optional<String> value(CommandLine line, String flag) {
    String variable = "DRAGONFLYHILL_" + flag.toUpperCase(Locale.ROOT).replace('-', '_');
    return Optional.ofNullable(line.getOptionValue(flag))
        .or(() -> Optional.ofNullable(variables.get(variable)))
        .filter(value -> !value.isEmpty());
  }
}
