package org.dragonflyhill.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests of {@link Main}. */
public final class MainTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private ExitCode run(String... args) {
    return Main.run(
        args,
        Map.of(),
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  @Test
  public void helpNamesEveryCommand() {
    assertEquals(run("--help"), ExitCode.OK);
    for (String name : new String[] {"apply", "get", "diff", "history", "rollback", "status"}) {
      assertTrue(out.toString(StandardCharsets.UTF_8).contains("  " + name), name);
    }
  }

  @Test
  public void refusesUnknownCommand() {
    assertEquals(run("aply"), ExitCode.USAGE);
    assertTrue(err.toString(StandardCharsets.UTF_8).contains("\"aply\": no such command"));
  }

  @Test
  public void refusesUnknownFlag() {
    assertEquals(run("get", "--colour", "red"), ExitCode.USAGE);
  }

  @Test
  public void reportsMissingLogAddress() {
    assertEquals(run("get"), ExitCode.USAGE);
    assertTrue(err.toString(StandardCharsets.UTF_8).contains("--log HOST:PORT"));
  }

  @Test
  public void reportsUnreachableLogAsUnavailable() {
    assertEquals(run("get", "--log", "127.0.0.1:1"), ExitCode.UNAVAILABLE);
  }
}
