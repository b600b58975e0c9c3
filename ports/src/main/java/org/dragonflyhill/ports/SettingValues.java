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
 * Values of settings. Flags override environment variables, which override defaults.
 *
 * <p>The accessors for values with a format or range check them. For an invalid value they add an
 * entry to {@link #errors()} instead of throwing an exception, so that all errors can be reported
 * at once. The result is then the smallest valid number, or the text as given.
 *
 * <pre>{@code
 * SettingValues values = SettingValues.read(specs, args, System.getenv());
 * int port = values.integer("http-port", 0, 65_535);
 * if (!values.errors().isEmpty()) { ... }
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
   * Reads the values of settings. Errors are added to {@link #errors()}.
   *
   * @param specs the known settings
   * @param args command line arguments of the program
   * @param environment environment variables
   */
  public static SettingValues read(
      List<SettingSpec> specs, String[] args, Map<String, String> environment) {
    SettingValues values = new SettingValues(specs);
    values.parse(args, environment);
    return values;
  }

  /** Returns whether the flag {@code --help} was given. */
  public boolean isHelpRequested() {
    return isHelpRequested;
  }

  /** Returns whether the flag {@code --print-settings} was given. */
  public boolean isPrintRequested() {
    return isPrintRequested;
  }

  /** Returns a message for each error found so far. */
  public List<String> errors() {
    return List.copyOf(errors);
  }

  /** Returns the text of a setting, or an empty string if it has no value. */
  public String text(String name) {
    return values.getOrDefault(name, "");
  }

  /** Returns the text of a setting, or an empty result if it has no value or an empty one. */
  public Optional<String> optionalText(String name) {
    return Optional.of(text(name)).filter(text -> !text.isEmpty());
  }

  /** Returns an integer within bounds. Reports an error for any other value. */
  public int integer(String name, int minimum, int maximum) {
    String value = text(name);
    try {
      int number = Integer.parseInt(value);
      if (number >= minimum && number <= maximum) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Reported below together with numbers out of bounds.
    }
    addError(name, "expected a whole number from " + minimum + " to " + maximum);
    return minimum;
  }

  /** Returns a duration of at least one millisecond. The value is in milliseconds. */
  public Duration millis(String name) {
    return Duration.ofMillis(integer(name, 1, Integer.MAX_VALUE));
  }

  /** Returns an address of the form {@code host:port}. */
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

  /** Returns a secret of a minimum length. Error messages do not contain its value. */
  public String secret(String name, int minimumLength) {
    String value = text(name);
    if (value.length() < minimumLength) {
      errors.add(
          "--" + name + ": " + value.length() + " characters, expected at least " + minimumLength);
    }
    return value;
  }

  /** Adds an error about the value of a setting, for checks outside this class. */
  public void addError(String name, String expected) {
    errors.add("--" + name + ": \"" + text(name) + "\": " + expected);
  }

  /** Returns all settings and their values, one per line, with secrets masked. */
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
    text.append("  --print-settings   print the settings with secrets masked, then exit\n");
    text.append("  --help             print this text, then exit\n");
    return text.toString();
  }

  private void parse(String[] args, Map<String, String> environment) {
    Options options = new Options();
    options.addOption(Option.builder().longOpt(HELP_FLAG).get());
    options.addOption(Option.builder().longOpt(PRINT_FLAG).get());
    specs.forEach(spec -> options.addOption(Option.builder().longOpt(spec.name()).hasArg().get()));
    try {
      CommandLine line = new DefaultParser(false).parse(options, args);
      line.getArgList().forEach(extra -> errors.add("\"" + extra + "\": unexpected argument"));
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
      errors.add(
          "--" + spec.name() + ": required; pass the flag or set " + spec.environmentVariable());
    }
    value.ifPresent(text -> values.put(spec.name(), text));
  }
}
