package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how reports of crashes are spread over several rounds. */
public final class CrashReportSlicesTest {

  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final int SUSPECTS = 30;

  /** Bytes of a suspect's name and of the identifier of a crash. */
  private static final int MIN_BYTES_PER_SUSPECT = 36;

  /** Number of slices that hold all suspects. */
  private static final int ROUNDS = 3;

  private CrashSuspects suspects;
  private CrashReportSlices slices;

  /** Starts with many suspects of one crash. */
  @BeforeMethod
  public void start() {
    suspects = new CrashSuspects();
    slices = new CrashReportSlices();
    for (int i = 0; i < SUSPECTS; i++) {
      suspects.recordCrash("i-%010x@1790000000000".formatted(i), List.of("model/part-" + i), START);
    }
  }

  private CrashReport slice(long round) {
    return slices.slice(suspects.report(START), round);
  }

  /** Guards against reports that fill the nodes' links after many runners have ended at once. */
  @Test
  public void everySuspectIsToldInTurn() {
    Set<String> told = new HashSet<>();
    int perSlice = CrashReportSlices.MAX_BYTES / MIN_BYTES_PER_SUSPECT;
    for (int round = 0; round < ROUNDS; round++) {
      Set<String> slice = slice(round).crashes().keySet();
      assertTrue(slice.size() <= perSlice, slice.size() + " suspects");
      told.addAll(slice);
    }
    assertEquals(told.size(), SUSPECTS);
  }

  /** All peers get the same suspects in a round, since each gets only one of its reports. */
  @Test
  public void slicesOfOneRoundAreAlike() {
    assertEquals(slice(7).crashes().keySet(), slice(7).crashes().keySet());
  }

  /** A part that crashes one runner after the other must be known to all nodes soon. */
  @Test
  public void suspectWithNewCrashComesFirst() {
    slice(0);
    suspects.recordCrash("i-last@1790000000000", List.of("model/part-29"), START);
    assertTrue(slice(1).crashes().containsKey("model/part-29"));
    assertEquals(slice(1).crashes().get("model/part-29").size(), 2);
  }

  /** A request's crashes are of use only with the times at which it was sent. */
  @Test
  public void sentRequestsGoWithTheirCrashes() {
    String key = CrashSuspects.requestKey("f1");
    suspects.recordRequestCrash("i-0000000001@1790000000000", key, START, START);
    for (int round = 0; round < SUSPECTS; round++) {
      CrashReport slice = slice(round);
      assertEquals(slice.sentRequests().containsKey(key), slice.crashes().containsKey(key));
    }
  }

  /** A peer that holds a crash against a sound part learns of the sound answer. */
  @Test
  public void soundAnswersAreTold() {
    suspects.recordSoundAnswer(List.of("model/part-3"), START.plusMillis(10));
    Instant now = START.plusMillis(20);
    boolean isTold = false;
    for (int round = 0; round < SUSPECTS; round++) {
      isTold |= !slices.slice(suspects.report(now), round).soundAnswers().isEmpty();
    }
    assertTrue(isTold);
  }
}
