package org.dragonflyhill.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.dragonflyhill.standins.StandinServer;
import org.dragonflyhill.standins.Standins;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the commands with a simulated log service. */
public final class CommandFlowTest {

  private static final String EXAMPLE = "../examples/riquelme.yaml";

  private StandinServer log;
  private String lastOutput;

  /** Starts a log service with an empty log. */
  @BeforeMethod
  public void start() {
    log = new Standins("127.0.0.1", InstantSource.system()).log(0, 0);
  }

  /** Stops the log service. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    log.close();
  }

  private ExitCode run(String... arguments) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
    List<String> args = new ArrayList<>(List.of(arguments));
    args.addAll(List.of("--log", "127.0.0.1:" + log.port(), "--author", "ana"));
    ExitCode code = Main.run(args.toArray(new String[0]), Map.of(), stream, stream);
    lastOutput = out.toString(StandardCharsets.UTF_8);
    return code;
  }

  @Test
  public void appliesInventoryOnce() {
    assertEquals(run("apply", EXAMPLE), ExitCode.OK);
    assertEquals(lastOutput, "accepted as version 0\n");
    assertEquals(run("apply", EXAMPLE), ExitCode.OK);
    assertEquals(lastOutput, "nothing to change\n");
  }

  @Test
  public void dryRunChangesNothing() {
    assertEquals(run("apply", EXAMPLE, "--dry-run"), ExitCode.OK);
    assertTrue(lastOutput.contains("create  RUNNER/rancagua-runner-1"), lastOutput);
    assertEquals(run("get", "runner/rancagua-runner-1"), ExitCode.REFUSED);
  }

  @Test
  public void invalidInventoryChangesNothing() throws IOException {
    Path file = Files.createTempFile("inventory", ".yaml");
    Files.writeString(file, Files.readString(Path.of(EXAMPLE)).replace("slots: 48", "slots: 0"));
    assertEquals(run("apply", file.toString()), ExitCode.REFUSED);
    assertEquals(lastOutput.lines().count(), 8, lastOutput);
    assertEquals(run("history"), ExitCode.OK);
    assertEquals(lastOutput.lines().count(), 1, lastOutput);
    Files.delete(file);
  }

  @Test
  public void drainsAndUndrainsRunner() {
    run("apply", EXAMPLE);
    assertEquals(run("drain", "runner/rancagua-runner-1"), ExitCode.OK);
    run("get", "runner/rancagua-runner-1", "--output", "json");
    assertTrue(lastOutput.contains("DRAINING"), lastOutput);
    assertEquals(run("undrain", "runner/rancagua-runner-1"), ExitCode.OK);
    run("get", "runner/rancagua-runner-1", "--output", "json");
    assertTrue(lastOutput.contains("ACTIVE"), lastOutput);
  }

  @Test
  public void refusesToDrainObjectOtherThanEndpoint() {
    run("apply", EXAMPLE);
    assertEquals(run("drain", "model/guardia"), ExitCode.REFUSED);
  }

  @Test
  public void rollsBackByNewChange() {
    run("apply", EXAMPLE);
    run("drain", "runner/rancagua-runner-1");
    assertEquals(run("rollback", "0"), ExitCode.OK);
    assertEquals(lastOutput, "accepted as version 2\n");
    assertEquals(run("diff", EXAMPLE, "--prune"), ExitCode.OK);
  }

  @Test
  public void refusesRollbackToUnknownVersion() {
    run("apply", EXAMPLE);
    assertEquals(run("rollback", "7"), ExitCode.REFUSED);
  }

  @Test
  public void historyNamesAuthor() {
    run("apply", EXAMPLE);
    run("history");
    assertTrue(lastOutput.contains("ana") && lastOutput.contains("accepted"), lastOutput);
  }

  @Test
  public void statusShowsUnreachableNode() {
    assertEquals(run("status", "--nodes", "127.0.0.1:1"), ExitCode.LAGGING);
    assertTrue(lastOutput.contains("silent"), lastOutput);
  }
}
