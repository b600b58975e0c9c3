package org.dragonflyhill.ports;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Values of settings, from flags first, environment variables second and defaults last.
 *
 * <p>Each accessor checks its value; a wrong one becomes an entry of {@link #errors()} and the
 * accessor returns the smallest valid value, so that all faults are reported at once.
 *
 * <pre>{@code
 * SettingValues values = SettingValues.read(specs, args, System.getenv());
 * int port = values.integer("http-port", 0, 65_535);
 * if (!values.faults().isEmpty()) { ... }
 * }</pre>
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class SettingValues {

  private static final String HELP_FLAG = "help";
  private static final String PRINT_FLAG = "print-settings";

  private final List<SettingSpec> specs;
  private final Map<String, String> values = new TreeMap<>();
  private final List<String> errors = new ArrayList<>();
  private boolean isHelpRequested;
  private boolean isPrintRequested;

  private SettingValues(List<SettingSpec> specs) {
    this.specs = List.copyOf(specs);
  }

  /**
   * Reads settings.
   *
   * @param specs the settings that exist
   * @param args arguments of the program
   * @param environment environment variables
   */
  public static SettingValues read(
      List<SettingSpec> specs, String[] args, Map<String, String> environment) {
    SettingValues values = new SettingValues(specs);
    values.parse(args, environment);
    return values;
  }

  /** Returns whether {@code --help} was given. */
  public boolean isHelpRequested() {
    return isHelpRequested;
  }

  /** Returns whether {@code --print-settings} was given. */
  public boolean isPrintRequested() {
    return isPrintRequested;
  }

  /** Returns what is wrong, each with the name of the setting and its value. */
  public List<String> errors() {
    return List.copyOf(errors);
  }

  /** Returns a text that is not empty. */
  public String text(String name) {
    return values.getOrDefault(name, "");
  }

  /** Returns a text, empty where none was given. */
  public Optional<String> optionalText(String name) {
    return Optional.of(text(name)).filter(text -> !text.isEmpty());
  }

  /** Returns a whole number within bounds. */
  public int integer(String name, int minimum, int maximum) {
    String value = text(name);
    try {
      int number = Integer.parseInt(value);
      if (number >= minimum && number <= maximum) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Reported below, as a number out of bounds is.
    }
    addError(name, "expected a whole number from " + minimum + " to " + maximum);
    return minimum;
  }

  /** Returns a time of at least one millisecond, given in milliseconds. */
  public Duration millis(String name) {
    return Duration.ofMillis(integer(name, 1, Integer.MAX_VALUE));
  }

  /** Returns a {@code host:port} address. */
  public String address(String name) {
    String value = text(name);
    if (!value.matches("[^:\\s]+:[0-9]{1,5}")) {
      addError(name, "expected host:port");
    }
    return value;
  }

  /** Returns a name of lower-case letters, digits, dots and hyphens. */
  public String name(String name) {
    String value = text(name);
    if (!value.matches("[a-z0-9][a-z0-9.-]{0,62}")) {
      addError(name, "expected 1 to 63 lower-case letters, digits, dots or hyphens");
    }
    return value;
  }

  /** Returns a secret of a least length, whose value no message shows. */
  public String secret(String name, int minimumLength) {
    String value = text(name);
    if (value.length() < minimumLength) {
      errors.add(
          "--" + name + ": " + value.length() + " characters, expected at least " + minimumLength);
    }
    return value;
  }

  /** Adds a fault that was found outside. */
  public void addError(String name, String expected) {
    errors.add("--" + name + ": \"" + text(name) + "\": " + expected);
  }

  /** Returns all settings and their values, secrets masked, one a line. */
  public String printableText() {
    StringBuilder text = new StringBuilder();
    for (SettingSpec spec : specs) {
      String value = spec.isSecret() ? "********" : text(spec.name());
      text.append(spec.environmentVariable()).append('=').append(value).append('\n');
    }
    return text.toString();
  }

  /** Returns the help text. */
  public static String help(String program, List<SettingSpec> specs) {
    StringBuilder text = new StringBuilder("usage: " + program + " [flags]\n\n");
    for (SettingSpec spec : specs) {
      text.append("  --").append(spec.name()).append(" VALUE   ").append(spec.description());
      text.append(spec.defaultValue().map(d -> " (default: " + d + ")").orElse(" (required)"));
      text.append("\n      or ").append(spec.environmentVariable()).append('\n');
    }
    text.append("  --print-settings   print the settings, secrets masked, and end\n");
    text.append("  --help             print this text and end\n");
    return text.toString();
  }

  private void parse(String[] args, Map<String, String> environment) {
    Options options = new Options();
    options.addOption(Option.builder().longOpt(HELP_FLAG).get());
    options.addOption(Option.builder().longOpt(PRINT_FLAG).get());
    specs.forEach(spec -> options.addOption(Option.builder().longOpt(spec.name()).hasArg().get()));
    try {
      CommandLine line = new DefaultParser(false).parse(options, args);
      line.getArgList().forEach(extra -> errors.add("\"" + extra + "\": not a flag"));
      isHelpRequested = line.hasOption(HELP_FLAG);
      isPrintRequested = line.hasOption(PRINT_FLAG);
      specs.forEach(spec -> resolveValue(spec, line, environment));
    } catch (ParseException e) {
      errors.add(e.getMessage());
    }
  }

  private void resolveValue(SettingSpec spec, CommandLine line, Map<String, String> environment) {
    Optional<String> value =
        Optional.ofNullable(line.getOptionValue(spec.name()))
            .or(() -> Optional.ofNullable(environment.get(spec.environmentVariable())))
            .or(spec::defaultValue);
    if (value.isEmpty()) {
      errors.add("--" + spec.name() + ": required, or set " + spec.environmentVariable());
    }
    value.ifPresent(text -> values.put(spec.name(), text));
  }
}
