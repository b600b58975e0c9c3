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

/**
 * Tests that a request reported as not executed was not executed, and is reported without delay.
 */
public final class NotRunProofTest {

  private static final String GUARANTEE = "5 not run is true";

  private Deployment deployment;
  private ExecutionChecker checker;
  private ProcessHelper nodeA;
  private ProcessHelper nodeB;

  /** Starts the stand-ins, the services that reset connections, and two nodes. */
  @BeforeMethod
  public void start() {
    deployment = new Deployment(0);
    checker = new ExecutionChecker(deployment);
    ObjectNode inventory = deployment.inventory();
    ArrayNode services = (ArrayNode) inventory.path("services");
    addService(services, "closed", unusedAddress());
    for (ConnectionResettingService.ResetPoint resetPoint :
        ConnectionResettingService.ResetPoint.values()) {
      ConnectionResettingService resetting =
          deployment.closer.add(
              new ConnectionResettingService(resetPoint, checker::recordExecution));
      addService(services, name(resetPoint), resetting.address());
    }
    ProcessHelper.ExitResult applied = deployment.apply(inventory);
    assertEquals(applied.exitCode(), 0, applied.output());
    nodeA = deployment.startNode("node-a");
    nodeB = deployment.startNode("node-b");
  }

  /** Stops all processes. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    deployment.close();
  }

  @Test
  public void connectionRefused() {
    ExecutionChecker.Response response = checker.send(nodeA, "closed", "refused");
    assertEquals(response.executed(), "no", response.toString());
    assertTrue(response.hasRetryAfter(), response.toString());
    report("connection refused", 1);
  }

  @Test
  public void connectionReset() {
    for (ConnectionResettingService.ResetPoint resetPoint :
        ConnectionResettingService.ResetPoint.values()) {
      ExecutionChecker.Response response = checker.send(nodeA, name(resetPoint), name(resetPoint));
      assertTrue(isCorrect(resetPoint, response), response.toString());
      ExecutionChecker.Response copy = checker.send(nodeB, name(resetPoint), name(resetPoint));
      assertTrue(isCorrect(resetPoint, copy), copy.toString());
      if (response.executed().equals("unknown")) {
        assertEquals(copy.executed(), "unknown", copy.toString());
      }
    }
    report("connection reset before, during and after the bytes", 3);
  }

  /**
   * Returns whether the response is true. A reset on accept may reach the node before it has sent
   * anything, so "not executed" is correct there too.
   */
  private static boolean isCorrect(
      ConnectionResettingService.ResetPoint resetPoint, ExecutionChecker.Response response) {
    boolean isUnsent =
        resetPoint == ConnectionResettingService.ResetPoint.ON_ACCEPT
            && response.executed().equals("no");
    return isUnsent ? response.hasRetryAfter() : response.executed().equals("unknown");
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
      ExecutionChecker.Response response = checker.send(nodeA, "down-" + i);
      assertEquals(response.executed(), "no", response.toString());
      assertEquals(response.reason(), "log_unavailable");
      assertTrue(response.hasRetryAfter(), response.toString());
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
    ExecutionChecker.Response response = checker.send(nodeA, "frozen-log");
    assertEquals(response.executed(), "no", response.toString());
    assertEquals(response.reason(), "log_unavailable", response.toString());
    deployment.log.resume();
    // The log takes the append after the caller got its answer, so the node must release the claim.
    assertEquals(checker.sendUntilAnswered(nodeB, "frozen-log").status(), 200);
    report("log frozen during the claim, append lands later", 1);
  }

  @Test
  public void logAnswersLateOrNever() {
    deployment.setFaults(deployment.log, "{\"delay_millis\":2500}");
    ExecutionChecker.Response response = checker.send(nodeA, "late");
    assertTrue(response.status() == 200 || response.executed().equals("no"), response.toString());
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

  private static String name(ConnectionResettingService.ResetPoint resetPoint) {
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
