package org.dragonflyhill.proofs;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dragonflyhill.ports.Json;

/** A program that runs as a separate process, which a test can kill, freeze or terminate. */
final class ProcessHelper implements AutoCloseable {

  private static final long EXIT_TIMEOUT_SECONDS = 60;

  private final Process process;
  private final JsonNode listeningPorts;
  private final Path errorFile;

  private ProcessHelper(Process process, JsonNode listeningPorts, Path errorFile) {
    this.process = process;
    this.listeningPorts = listeningPorts;
    this.errorFile = errorFile;
  }

  /** Starts a program and waits until it prints the ports on which it listens, a line of JSON. */
  static ProcessHelper start(Class<?> main, List<String> args) {
    try {
      Path errorFile = Files.createTempFile("dragonflyhill-", ".log");
      errorFile.toFile().deleteOnExit();
      Process process =
          new ProcessBuilder(command(main, args)).redirectError(errorFile.toFile()).start();
      BufferedReader out =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      String line = out.readLine();
      if (line == null) {
        throw new IllegalStateException(
            main.getName() + " exited without printing its ports: " + Files.readString(errorFile));
      }
      return new ProcessHelper(process, Json.readTree(line).get(), errorFile);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Runs a program until it exits and returns its exit code and output. */
  static ExitResult run(Class<?> main, List<String> args) {
    try {
      Process process = new ProcessBuilder(command(main, args)).redirectErrorStream(true).start();
      String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return new ExitResult(process.waitFor(), output);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static List<String> command(Class<?> main, List<String> args) {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
    command.addAll(
        List.of("-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", classPath()));
    command.add(main.getName());
    command.addAll(args);
    return command;
  }

  private static String classPath() {
    return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
  }

  /** Returns a port that the program printed, such as "admin_port". */
  int port(String name) {
    return listeningPorts.path(name).asInt();
  }

  /** Returns {@code host:port} for a port that the program printed. */
  String address(String name) {
    return "127.0.0.1:" + port(name);
  }

  /** Kills the process and waits for its exit. */
  void kill() {
    process.destroyForcibly();
    await();
  }

  /** Suspends the process, like a long pause of the host or the garbage collector. */
  void freeze() {
    signal("-STOP");
  }

  /** Continues a frozen process. */
  void resume() {
    signal("-CONT");
  }

  /** Requests a graceful stop and returns without waiting for it. */
  void terminate() {
    process.destroy();
  }

  /** Waits until the process exits. */
  void await() {
    try {
      if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException("process " + process.pid() + " did not exit");
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Returns what the process has written to standard error, which holds its log. */
  String log() {
    try {
      return Files.readString(errorFile);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }

  private void signal(String signal) {
    try {
      new ProcessBuilder("kill", signal, String.valueOf(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Exit code and output of a program that has exited. */
  record ExitResult(int exitCode, String output) {}
}
