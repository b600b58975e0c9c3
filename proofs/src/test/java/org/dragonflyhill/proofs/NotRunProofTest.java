package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Proofs that "not run" is true and said at once. */
public final class NotRunProofTest {

  private static final String GUARANTEE = "5 not run is true";

  private Deployment deployment;
  private ExecutionChecker checker;
  private ProcessHelper nodeA;
  private ProcessHelper nodeB;

  /** Starts stand-ins, broken services and two nodes. */
  @BeforeMethod
  public void start() {
    deployment = new Deployment(0);
    checker = new ExecutionChecker(deployment);
    ObjectNode inventory = deployment.inventory();
    ArrayNode services = (ArrayNode) inventory.path("services");
    addService(services, "closed", unusedAddress());
    for (ConnectionResettingService.When when : ConnectionResettingService.When.values()) {
      ConnectionResettingService broken =
          deployment.closer.add(new ConnectionResettingService(when, checker::recordExecution));
      addService(services, name(when), broken.address());
    }
    ProcessHelper.ExitResult applied = deployment.apply(inventory);
    assertEquals(applied.exitCode(), 0, applied.output());
    nodeA = deployment.startNode("node-a");
    nodeB = deployment.startNode("node-b");
  }

  /** Ends all processes. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    deployment.close();
  }

  @Test
  public void connectionRefused() {
    ExecutionChecker.Response told = checker.send(nodeA, "closed", "refused");
    assertEquals(told.executed(), "no", told.toString());
    assertTrue(told.hasRetryAfter(), told.toString());
    report("connection refused", 1);
  }

  @Test
  public void connectionReset() {
    for (ConnectionResettingService.When when : ConnectionResettingService.When.values()) {
      ExecutionChecker.Response told = checker.send(nodeA, name(when), name(when));
      assertTrue(isCorrect(when, told), told.toString());
      ExecutionChecker.Response copy = checker.send(nodeB, name(when), name(when));
      assertTrue(isCorrect(when, copy), copy.toString());
      if (told.executed().equals("unknown")) {
        assertEquals(copy.executed(), "unknown", copy.toString());
      }
    }
    report("connection reset before, during and after the bytes", 3);
  }

  /** A reset on accepting may come before the node has connected; then nothing was sent. */
  private static boolean isCorrect(
      ConnectionResettingService.When resetPoint, ExecutionChecker.Response told) {
    boolean isUnsent =
        resetPoint == ConnectionResettingService.When.ON_ACCEPT && told.executed().equals("no");
    return isUnsent ? told.hasRetryAfter() : told.executed().equals("unknown");
  }

  @Test
  public void serviceRefusesAfterItMayHaveRun() {
    deployment.setFaults(deployment.service, "{\"refuse\":1}");
    assertEquals(checker.send(nodeA, "gateway").executed(), "unknown");
    report("service answers 503", 1);
  }

  @Test
  public void logRefusesBeforeClaim() {
    deployment.setFaults(deployment.log, "{\"refuse\":-1}");
    for (int i = 0; i < 5; i++) {
      ExecutionChecker.Response told = checker.send(nodeA, "down-" + i);
      assertEquals(told.executed(), "no", told.toString());
      assertEquals(told.reason(), "log_unavailable");
      assertTrue(told.hasRetryAfter(), told.toString());
    }
    deployment.setFaults(deployment.log, "{}");
    for (int i = 0; i < 5; i++) {
      assertEquals(checker.sendUntilAnswered(nodeB, "down-" + i).status(), 200);
    }
    report("log refuses before the claim", 5);
  }

  @Test
  public void logFrozenDuringClaim() {
    deployment.log.freeze();
    ExecutionChecker.Response told = checker.send(nodeA, "frozen-log");
    assertEquals(told.executed(), "no", told.toString());
    assertEquals(told.reason(), "log_unavailable", told.toString());
    deployment.log.resume();
    // The append reaches the log after the caller was told: the claim must be released.
    assertEquals(checker.sendUntilAnswered(nodeB, "frozen-log").status(), 200);
    report("log frozen during the claim, append lands later", 1);
  }

  @Test
  public void logAnswersLateOrNever() {
    deployment.setFaults(deployment.log, "{\"delay_millis\":2500}");
    ExecutionChecker.Response told = checker.send(nodeA, "late");
    assertTrue(told.status() == 200 || told.executed().equals("no"), told.toString());
    deployment.setFaults(deployment.log, "{}");
    assertEquals(checker.sendUntilAnswered(nodeB, "late").status(), 200);
    report("append answered after the timeout", 1);
  }

  @Test
  public void outcomeQueryWhileLogIsDown() {
    deployment.setFaults(deployment.log, "{\"refuse\":-1}");
    String answer = deployment.get(nodeB, "/v1/requests/never-seen").body();
    assertTrue(answer.contains("\"executed\":\"unknown\""), answer);
    report("outcome asked of a node that cannot read the log", 1);
  }

  private void report(String failure, int rounds) {
    List<String> violations = checker.violations(nodeB);
    violations.forEach(System.out::println);
    Proof.report(GUARANTEE, failure, rounds, checker.requests(), violations.size());
  }

  private static void addService(ArrayNode services, String name, String address) {
    ObjectNode service = services.addObject().put("name", name);
    service.put("availability_zone", "rancagua").put("address", address);
    service.put("administrative_state", "ACTIVE");
    service.putArray("operations").addObject().put("name", "send").put("repeatable", false);
  }

  private static String name(ConnectionResettingService.When resetPoint) {
    return resetPoint.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }

  private static String unusedAddress() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
