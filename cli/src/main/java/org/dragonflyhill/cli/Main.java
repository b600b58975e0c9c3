package org.dragonflyhill.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.dragonflyhill.core.ChangeRecord;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.platform.ConfigurationLog;
import org.dragonflyhill.platform.HttpCaller;
import org.dragonflyhill.platform.HttpLog;
import org.dragonflyhill.platform.PlatformError;

/** The program {@code dragonflyhill}, the operators' command line. Stateless. */
public final class Main {

  private static final int EXIT_OK = 0;
  private static final int EXIT_REFUSED = 1;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_UNAVAILABLE = 3;
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private Main() {}

  /** Runs one command and exits with its code. */
  public static void main(String[] args) throws IOException {
    System.exit(run(args));
  }

  private static int run(String[] args) throws IOException {
    Options options = new Options();
    options.addOption(Option.builder().longOpt("log").hasArg().get());
    options.addOption(Option.builder().longOpt("author").hasArg().get());
    options.addOption(Option.builder().longOpt("prune").get());
    CommandLine line;
    try {
      line = new DefaultParser(false).parse(options, args);
    } catch (ParseException e) {
      System.err.println("dragonflyhill: " + e.getMessage());
      return EXIT_USAGE;
    }
    List<String> words = line.getArgList();
    if (words.size() != 2 || !words.getFirst().equals("apply") || !line.hasOption("log")) {
      System.err.println("usage: dragonflyhill apply FILE --log HOST:PORT [--prune]");
      return EXIT_USAGE;
    }
    try (HttpCaller caller = new HttpCaller("cli", 4, TIMEOUT)) {
      var log = new ConfigurationLog(new HttpLog(caller, line.getOptionValue("log"), TIMEOUT));
      return apply(log, words.get(1), line);
    }
  }

  private static int apply(ConfigurationLog log, String file, CommandLine line) throws IOException {
    var inventory = InventoryReader.read(file, Files.readString(Path.of(file)));
    if (!inventory.faults().isEmpty()) {
      inventory.faults().forEach(System.err::println);
      return EXIT_REFUSED;
    }
    Either<PlatformError, ConfigurationState> current = log.read().block();
    if (current.isLeft()) {
      return unavailable(current.getLeft());
    }
    Optional<ChangeRecord> change =
        ChangePlan.plan(
            current.get(),
            inventory.objects(),
            line.hasOption("prune"),
            UUID.randomUUID().toString(),
            line.getOptionValue("author", System.getProperty("user.name")));
    if (change.isEmpty()) {
      System.out.println("nothing to change");
      return EXIT_OK;
    }
    Either<PlatformError, ConfigurationState> after =
        log.append(current.get(), change.get()).block();
    if (after.isLeft()) {
      return unavailable(after.getLeft());
    }
    var decision = after.get().decision(change.get().changeId()).orElseThrow();
    if (!decision.isAccepted()) {
      decision.rejections().forEach(System.err::println);
      return EXIT_REFUSED;
    }
    System.out.println("accepted at version " + decision.offset());
    return EXIT_OK;
  }

  private static int unavailable(PlatformError error) {
    System.err.println("dragonflyhill: " + error.detail());
    return EXIT_UNAVAILABLE;
  }
}
