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
 * <p>Each accessor checks its value; a wrong one becomes an entry of {@link #faults()} and the
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

  private static final String HELP = "help";
  private static final String PRINT = "print-settings";

  private final List<SettingSpec> specs;
  private final Map<String, String> values = new TreeMap<>();
  private final List<String> faults = new ArrayList<>();
  private boolean isHelpWanted;
  private boolean isPrintWanted;

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
  public boolean isHelpWanted() {
    return isHelpWanted;
  }

  /** Returns whether {@code --print-settings} was given. */
  public boolean isPrintWanted() {
    return isPrintWanted;
  }

  /** Returns what is wrong, each with the name of the setting and its value. */
  public List<String> faults() {
    return List.copyOf(faults);
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
    fault(name, "expected a whole number from " + minimum + " to " + maximum);
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
      fault(name, "expected host:port");
    }
    return value;
  }

  /** Returns a name of lower-case letters, digits, dots and hyphens. */
  public String name(String name) {
    String value = text(name);
    if (!value.matches("[a-z0-9][a-z0-9.-]{0,62}")) {
      fault(name, "expected 1 to 63 lower-case letters, digits, dots or hyphens");
    }
    return value;
  }

  /** Returns a secret of a least length, whose value no message shows. */
  public String secret(String name, int minimumLength) {
    String value = text(name);
    if (value.length() < minimumLength) {
      faults.add(
          "--" + name + ": " + value.length() + " characters, expected at least " + minimumLength);
    }
    return value;
  }

  /** Adds a fault that was found outside. */
  public void fault(String name, String expected) {
    faults.add("--" + name + ": \"" + text(name) + "\": " + expected);
  }

  /** Returns all settings and their values, secrets masked, one a line. */
  public String printed() {
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
    options.addOption(Option.builder().longOpt(HELP).get());
    options.addOption(Option.builder().longOpt(PRINT).get());
    specs.forEach(spec -> options.addOption(Option.builder().longOpt(spec.name()).hasArg().get()));
    try {
      CommandLine line = new DefaultParser(false).parse(options, args);
      line.getArgList().forEach(extra -> faults.add("\"" + extra + "\": not a flag"));
      isHelpWanted = line.hasOption(HELP);
      isPrintWanted = line.hasOption(PRINT);
      specs.forEach(spec -> take(spec, line, environment));
    } catch (ParseException e) {
      faults.add(e.getMessage());
    }
  }

  private void take(SettingSpec spec, CommandLine line, Map<String, String> environment) {
    Optional<String> value =
        Optional.ofNullable(line.getOptionValue(spec.name()))
            .or(() -> Optional.ofNullable(environment.get(spec.environmentVariable())))
            .or(spec::defaultValue);
    if (value.isEmpty()) {
      faults.add("--" + spec.name() + ": required, or set " + spec.environmentVariable());
    }
    value.ifPresent(text -> values.put(spec.name(), text));
  }
}
