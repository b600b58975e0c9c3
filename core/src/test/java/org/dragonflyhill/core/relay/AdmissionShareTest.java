package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.Test;

/** The number of running requests up to which a runner refuses nothing. */
public final class AdmissionShareTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);

  /**
   * Guards against refusals while most slots are free, and against a limit made for large runners
   * at small ones, where all slots are taken before anything is refused.
   */
  @Test
  public void admitsShareOfTheSlots() {
    assertEquals(alwaysAdmitted(64), 8);
    assertEquals(alwaysAdmitted(32), 8);
    assertEquals(alwaysAdmitted(16), 8);
    assertEquals(alwaysAdmitted(6), 3);
  }

  private static int alwaysAdmitted(int slots) {
    RunnerInfo info =
        new RunnerInfo(
            "r1",
            "s",
            new Endpoint("10.0.0.1", 80),
            "z1",
            slots,
            false,
            Map.of("m", 1L),
            Optional.empty(),
            1);
    Runner runner = new Runner(info, NOW);
    int running = 0;
    while (Admission.refusal(select(runner), Duration.ofMillis(100), Admission.Standing.NEW)
        .isEmpty()) {
      runner.requestSent(1, 20_000, 100, NOW);
      running++;
    }
    return running - 1;
  }

  private static RunnerSelector.Selection select(Runner runner) {
    RunnerSelector selector =
        new RunnerSelector(
            new PartDirectory(),
            new PeerTable(),
            new AnnouncedWeights(),
            new WeightsDeadline(Duration.ofSeconds(6)),
            "z1");
    Prompt prompt = new Prompt("m", 12_000, 100, List.of());
    var request =
        new RunnerSelector.Request(prompt, version -> "m@" + version, "k", 327_680, 113_000, 1);
    return selector.selectForPrompt(request, List.of(runner), List.of(), NOW).orElseThrow();
  }
}
