package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which prompt parts and requests are blocked after runners crashed. */
public final class CrashSuspectsTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final List<String> BAD_PROMPT = List.of("m/common", "m/bad");
  private static final List<String> SOUND_PROMPT = List.of("m/common", "m/other");

  private static final String REQUEST = CrashSuspects.requestKey("c0ffee");

  /** Time between crashes by which the number that blocks a part is far enough apart. */
  private static final long STEP =
      CrashSuspects.BLOCKING_SPAN.toMillis() / (CrashSuspects.BLOCKING_CRASHES - 1) + 10;

  /** Time of the last of these crashes. */
  private static final long LAST = STEP * (CrashSuspects.BLOCKING_CRASHES - 1);

  private static Instant at(long millis) {
    return START.plusMillis(millis);
  }

  private static void crash(CrashSuspects suspects, int number, long millis) {
    suspects.recordCrash("crash-" + number, BAD_PROMPT, at(millis));
  }

  /** Only the part that sound answers lack is blocked, not those that it shares prompts with. */
  @Test
  public void blocksThePartThatSoundAnswersLack() {
    var suspects = new CrashSuspects();
    for (int i = 0; i < CrashSuspects.BLOCKING_CRASHES; i++) {
      assertEquals(suspects.blockedSuspect(BAD_PROMPT, at(i * STEP)), Optional.empty());
      crash(suspects, i, i * STEP);
      suspects.recordSoundAnswer(SOUND_PROMPT, at(i * STEP + 50));
    }
    assertEquals(suspects.blockedSuspect(BAD_PROMPT, at(LAST + 100)), Optional.of("m/bad"));
    assertEquals(suspects.blockedSuspect(SOUND_PROMPT, at(LAST + 100)), Optional.empty());
  }

  /** A part whose only sound prompts are new ones is cleared by them, although it was blocked. */
  @Test
  public void blocksNoPromptThatLacksThePartOfAllCrashes() {
    var suspects = new CrashSuspects();
    for (int i = 0; i < CrashSuspects.BLOCKING_CRASHES; i++) {
      crash(suspects, i, i * STEP);
    }
    assertTrue(suspects.blockedSuspect(BAD_PROMPT, at(LAST + 100)).isPresent());
    assertEquals(suspects.blockedSuspect(SOUND_PROMPT, at(LAST + 100)), Optional.empty());
    // It was the common part after all.
    suspects.recordCrash("another", SOUND_PROMPT, at(LAST + 200));
    assertEquals(suspects.blockedSuspect(SOUND_PROMPT, at(LAST + 300)), Optional.of("m/common"));
    assertEquals(suspects.blockedSuspect(List.of("m/bad"), at(LAST + 300)), Optional.empty());
  }

  /** One crash that several nodes or requests report counts once. */
  @Test
  public void countsEachCrashOnce() {
    var suspects = new CrashSuspects();
    for (int i = 0; i < 10; i++) {
      crash(suspects, 1, i * STEP);
    }
    assertEquals(suspects.blockedSuspect(BAD_PROMPT, at(20 * STEP)), Optional.empty());
  }

  /** A part that was sound for a while and then crashes runners is blocked all the same. */
  @Test
  public void blocksPartThatTurnsBad() {
    var suspects = new CrashSuspects();
    crash(suspects, 0, 0);
    suspects.recordSoundAnswer(BAD_PROMPT, at(100));
    for (int i = 1; i <= CrashSuspects.BLOCKING_CRASHES; i++) {
      crash(suspects, i, 1_000 + i * STEP);
    }
    assertTrue(suspects.blockedSuspect(BAD_PROMPT, at(2_000 + LAST)).isPresent());
  }

  /** An answer that began before a crash and ends after it says nothing about its part. */
  @Test
  public void answersBegunBeforeCrashDoNotClearIt() {
    var suspects = new CrashSuspects();
    for (int i = 0; i < CrashSuspects.BLOCKING_CRASHES; i++) {
      crash(suspects, i, 100 + i * STEP);
    }
    suspects.recordSoundAnswer(BAD_PROMPT, at(50));
    assertTrue(suspects.blockedSuspect(BAD_PROMPT, at(LAST + 200)).isPresent());
  }

  /** After a crash is forgotten, a single further crash blocks the part again. */
  @Test
  public void forgottenCrashAllowsOneTrial() {
    var suspects = new CrashSuspects();
    for (int i = 0; i < CrashSuspects.BLOCKING_CRASHES; i++) {
      crash(suspects, i, i * 1_000);
    }
    long later = CrashSuspects.CRASH_MEMORY.toMillis() + 500;
    assertEquals(suspects.blockedSuspect(BAD_PROMPT, at(later)), Optional.empty());
    crash(suspects, 9, later + 1);
    assertTrue(suspects.blockedSuspect(BAD_PROMPT, at(later + 2)).isPresent());
  }

  /** Numbers of nodes that see the crashes in turn. */
  @DataProvider
  public Object[][] nodeCounts() {
    return new Object[][] {{2}, {3}, {4}, {5}};
  }

  /** Each node sees another crash; after one round of reports all of them block the part. */
  @Test(dataProvider = "nodeCounts")
  public void nodesShareCrashes(int nodes) {
    List<CrashSuspects> all = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      all.add(new CrashSuspects());
    }
    for (int i = 0; i < CrashSuspects.BLOCKING_CRASHES; i++) {
      crash(all.get(i % nodes), i, i * STEP);
    }
    exchange(all, LAST + 100);
    for (CrashSuspects node : all) {
      assertEquals(node.blockedSuspect(BAD_PROMPT, at(LAST + 110)), Optional.of("m/common"));
    }
    // Each node sees sound answers with the common part.
    all.forEach(node -> node.recordSoundAnswer(SOUND_PROMPT, at(LAST + 120)));
    exchange(all, LAST + 200);
    for (CrashSuspects node : all) {
      assertEquals(node.blockedSuspect(BAD_PROMPT, at(LAST + 210)), Optional.of("m/bad"));
    }
  }

  private static void exchange(List<CrashSuspects> nodes, long millis) {
    List<CrashReport> reports = nodes.stream().map(node -> node.report(at(millis))).toList();
    nodes.forEach(node -> reports.forEach(report -> node.merge(report, at(millis + 1))));
  }

  /** A sound answer at one node unblocks a part at the others. */
  @Test
  public void soundAnswerUnblocksAtPeers() {
    var one = new CrashSuspects();
    var other = new CrashSuspects();
    for (int i = 0; i < CrashSuspects.BLOCKING_CRASHES; i++) {
      crash(one, i, i * STEP);
    }
    exchange(List.of(one, other), LAST + 10);
    other.recordSoundAnswer(List.of("m/common"), at(LAST + 20));
    exchange(List.of(one, other), LAST + 30);
    assertEquals(one.blockedSuspect(List.of("m/common"), at(LAST + 40)), Optional.empty());
    assertTrue(one.blockedSuspect(BAD_PROMPT, at(LAST + 40)).isPresent());
  }

  /** A node that restarts learns what is blocked from one report of any peer. */
  @Test
  public void restartedNodeLearnsFromPeerThatSawNoCrash() {
    var one = new CrashSuspects();
    for (int i = 0; i < CrashSuspects.BLOCKING_CRASHES; i++) {
      crash(one, i, i * STEP);
    }
    var witness = new CrashSuspects();
    witness.merge(one.report(at(LAST + 10)), at(LAST + 11));
    var restarted = new CrashSuspects();
    restarted.merge(witness.report(at(LAST + 20)), at(LAST + 21));
    assertTrue(restarted.blockedSuspect(BAD_PROMPT, at(LAST + 30)).isPresent());
  }

  /** Runners that end together block no part, however many they are. */
  @Test
  public void crashesAtOneMomentBlockNothing() {
    var suspects = new CrashSuspects();
    for (int i = 0; i < 10; i++) {
      crash(suspects, i, i * 50);
    }
    assertEquals(suspects.blockedSuspect(BAD_PROMPT, at(60_000)), Optional.empty());
    crash(suspects, 10, CrashSuspects.BLOCKING_SPAN.toMillis());
    assertTrue(suspects.blockedSuspect(BAD_PROMPT, at(60_000)).isPresent());
  }

  /** A report names crashes far enough apart, even if the newest ones are close together. */
  @Test
  public void reportTellsTheTimeBetweenCrashes() {
    var one = new CrashSuspects();
    var other = new CrashSuspects();
    crash(one, 0, 0);
    for (int i = 1; i < 30; i++) {
      crash(one, i, 1_000 + i);
    }
    other.merge(one.report(at(1_100)), at(1_101));
    assertTrue(other.blockedSuspect(BAD_PROMPT, at(1_102)).isPresent());
  }

  /**
   * An answer that was complete before its node heard of an earlier crash clears that crash too.
   */
  @Test
  public void soundAnswersBeforeReportClearCrash() {
    var one = new CrashSuspects();
    var other = new CrashSuspects();
    for (int i = 0; i < CrashSuspects.BLOCKING_CRASHES; i++) {
      crash(one, i, i * STEP);
    }
    other.recordSoundAnswer(BAD_PROMPT, at(LAST + 5));
    exchange(List.of(one, other), LAST + 10);
    assertEquals(other.blockedSuspect(BAD_PROMPT, at(LAST + 20)), Optional.empty());
    exchange(List.of(one, other), LAST + 30);
    assertEquals(one.blockedSuspect(BAD_PROMPT, at(LAST + 40)), Optional.empty());
  }

  /** A late report of a crash that a sound answer has cleared does not make it a new crash. */
  @Test
  public void lateReportDoesNotRenewClearedCrash() {
    var one = new CrashSuspects();
    var other = new CrashSuspects();
    for (int i = 0; i < CrashSuspects.BLOCKING_CRASHES; i++) {
      crash(one, i, i * STEP);
    }
    CrashReport late = one.report(at(LAST + 10));
    other.merge(late, at(LAST + 11));
    assertTrue(other.blockedSuspect(BAD_PROMPT, at(LAST + 12)).isPresent());
    other.recordSoundAnswer(BAD_PROMPT, at(LAST + 500));
    other.merge(late, at(LAST + 2_000));
    assertEquals(other.blockedSuspect(BAD_PROMPT, at(LAST + 2_001)), Optional.empty());
  }

  /** Crashes and sound answers do not move in time however often nodes tell them each other. */
  @Test
  public void repeatedExchangeDoesNotMoveCrashes() {
    var one = new CrashSuspects();
    var other = new CrashSuspects();
    crash(one, 0, 0);
    for (int i = 0; i < 5_000; i++) {
      exchange(List.of(one, other), 100 + i * 10);
    }
    other.recordSoundAnswer(BAD_PROMPT, at(60));
    assertEquals(other.report(at(60_000)).crashes().size(), 0);
  }

  /** Parts that were by chance at one crashed runner are not reported for as long as they count. */
  @Test
  public void singleCrashIsReportedForShortTime() {
    var suspects = new CrashSuspects();
    crash(suspects, 0, 0);
    long end = CrashSuspects.SINGLE_CRASH_REPORTING.toMillis();
    assertTrue(suspects.report(at(end - 1)).crashes().containsKey("m/bad"));
    assertEquals(suspects.report(at(end + 1)), CrashReport.EMPTY);
    crash(suspects, 1, end + 200);
    crash(suspects, 2, end + 300);
    assertTrue(suspects.report(at(3 * end)).crashes().containsKey("m/bad"));
    assertTrue(suspects.blockedSuspect(BAD_PROMPT, at(3 * end)).isPresent());
  }

  /** Sound answers are reported only while a peer still holds a crash against their parts. */
  @Test
  public void soundAnswersAreNotReportedForEver() {
    var one = new CrashSuspects();
    var other = new CrashSuspects();
    crash(one, 0, 0);
    exchange(List.of(one, other), 10);
    for (int i = 1; i < 50; i++) {
      other.recordSoundAnswer(BAD_PROMPT, at(i * 100));
      exchange(List.of(one, other), i * 100 + 50);
    }
    assertEquals(one.report(at(5_000)), CrashReport.EMPTY);
    assertEquals(other.report(at(5_000)), CrashReport.EMPTY);
  }

  /** Memory and reports stay bounded whatever parts prompts name; the worst part stays known. */
  @Test
  public void memoryIsBounded() {
    var suspects = new CrashSuspects();
    Random random = new Random(1);
    for (int i = 0; i < 5_000; i++) {
      List<String> parts = new ArrayList<>(List.of("m/bad"));
      for (int j = 0; j < 5; j++) {
        parts.add("m/" + Long.toHexString(random.nextLong()));
      }
      suspects.recordCrash("crash-" + i, parts, at(i));
    }
    CrashReport report = suspects.report(at(5_000));
    assertEquals(report.crashes().size(), CrashSuspects.MAX_REPORTED_SUSPECTS);
    assertTrue(report.crashes().containsKey("m/bad"));
    assertTrue(suspects.blockedSuspect(List.of("m/bad"), at(5_000)).isPresent());
    assertFalse(suspects.isEmpty());
    Instant forgotten = at(6_000).plus(CrashSuspects.CRASH_MEMORY).plus(Duration.ofSeconds(1));
    assertEquals(suspects.report(forgotten), CrashReport.EMPTY);
    assertTrue(suspects.isEmpty());
  }

  private static void requestCrash(CrashSuspects suspects, int number, long sent, long crashed) {
    suspects.recordRequestCrash("crash-" + number, REQUEST, at(sent), at(crashed));
  }

  /** A request that is sent on from one crashed runner to the next is blocked without delay. */
  @Test
  public void blocksRequestThatFollowsItsCrashes() {
    var suspects = new CrashSuspects();
    requestCrash(suspects, 0, 0, 60);
    requestCrash(suspects, 1, 60, 120);
    assertTrue(suspects.blockedSuspect(List.of(REQUEST), at(130)).isEmpty());
    requestCrash(suspects, 2, 150, 210);
    assertEquals(suspects.blockedSuspect(List.of(REQUEST), at(220)), Optional.of(REQUEST));
  }

  /** Copies of a request at runners that end together say nothing of it. */
  @Test
  public void requestsAtRunnersThatEndTogetherAreNotBlocked() {
    var suspects = new CrashSuspects();
    for (int i = 0; i < 10; i++) {
      requestCrash(suspects, i, i, 100 + i);
    }
    assertTrue(suspects.blockedSuspect(List.of(REQUEST), at(200)).isEmpty());
  }

  /** Peers learn from a report alone that a request followed its crashes. */
  @Test
  public void reportTellsOfSuccessiveCrashes() {
    var suspects = new CrashSuspects();
    for (int i = 0; i < CrashSuspects.BLOCKING_CRASHES; i++) {
      requestCrash(suspects, i, i * 100, i * 100 + 60);
    }
    var peer = new CrashSuspects();
    peer.merge(suspects.report(at(300)), at(303));
    assertEquals(peer.blockedSuspect(List.of(REQUEST), at(310)), Optional.of(REQUEST));
  }

  /** A request that explains all crashes of a part must not keep sound prompts with it away. */
  @Test
  public void crashesOfOneRequestBlockNoPromptWithItsParts() {
    var suspects = new CrashSuspects();
    for (int i = 0; i < CrashSuspects.BLOCKING_CRASHES; i++) {
      crash(suspects, i, i * STEP);
      requestCrash(suspects, i, i * STEP - 60, i * STEP);
    }
    List<String> bad = List.of(REQUEST, "m/common", "m/bad");
    assertEquals(suspects.blockedSuspect(bad, at(LAST + 50)), Optional.of(REQUEST));
    List<String> other = List.of(CrashSuspects.requestKey("other"), "m/common", "m/bad");
    assertEquals(suspects.blockedSuspect(other, at(LAST + 50)), Optional.empty());
  }

  /** What was blocked is served again once its crashes are ten minutes old. */
  @Test
  public void blockedSuspectsAreServedAgain() {
    var suspects = new CrashSuspects();
    for (int i = 0; i < CrashSuspects.BLOCKING_CRASHES; i++) {
      crash(suspects, i, i * STEP);
    }
    long memory = Duration.ofMinutes(10).toMillis();
    assertTrue(suspects.blockedSuspect(BAD_PROMPT, at(memory - 1)).isPresent());
    assertEquals(suspects.blockedSuspect(BAD_PROMPT, at(memory + 1)), Optional.empty());
  }

  /** Requests are alike only if caller, method, host, path and body are equal. */
  @Test
  public void fingerprintTellsRequestsApart() {
    Set<String> fingerprints = new HashSet<>();
    String[][] requests = {
      {"a", "GET", "h", "/x", ""},
      {"b", "GET", "h", "/x", ""},
      {"a", "POST", "h", "/x", ""},
      {"a", "GET", "h2", "/x", ""},
      {"a", "GET", "h", "/xx", ""},
      {"a", "GET", "h", "/", "x"},
      {"aG", "ET", "h", "/x", ""},
    };
    for (String[] each : requests) {
      fingerprints.add(fingerprint(each));
      assertEquals(fingerprint(each), fingerprint(each));
    }
    assertEquals(fingerprints.size(), requests.length);
    String[] withQuery = {"a", "GET", "h", "/x?page=7", ""};
    assertEquals(fingerprint(withQuery), fingerprint(requests[0]));
  }

  private static String fingerprint(String[] request) {
    return RequestFingerprint.of(
        request[0], request[1], request[2], request[3], ByteBuffer.wrap(request[4].getBytes()));
  }
}
