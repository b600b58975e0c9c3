package org.dragonflyhill.standins;

import java.util.ArrayList;
import java.util.List;
import org.dragonflyhill.ports.RunnerPort;

/** Makes the chunks of a runner's streams, sound or faulty. Thread-safe; nothing is null. */
final class StreamFaults {

  /** Chunks by which a late chunk comes after its place. */
  private static final int LATENESS = 3;

  private Faults counted = Faults.NONE;
  private int faultyLeft;
  private RunnerPort.CompletionRequest previous =
      new RunnerPort.CompletionRequest(
          "no-request", "", "", "", "another prompt", List.of(), 1, 1, 0, false, List.of());
  private RunnerPort.CompletionRequest latest = previous;

  /** Returns the failures of the next stream and counts it. */
  synchronized Faults next(Faults wanted) {
    if (wanted != counted) {
      counted = wanted;
      faultyLeft = wanted.faultyCompletions();
    }
    if (wanted.faultyCompletions() == 0) {
      return wanted;
    }
    faultyLeft--;
    return faultyLeft >= 0 ? wanted : Faults.NONE;
  }

  /** Returns what is sent in the place of one token. */
  List<RunnerPort.Event.Chunk> chunks(
      Faults faults, RunnerPort.CompletionRequest request, String version, int index) {
    List<RunnerPort.Event.Chunk> chunks = new ArrayList<>();
    RunnerPort.CompletionRequest other = other(request);
    if (isHit(faults.crossedEvery(), index)) {
      chunks.add(chunk(other, version, index));
    }
    if (!isHit(faults.gapEvery(), index)) {
      chunks.add(chunk(request, version, index));
    }
    if (isHit(faults.duplicateEvery(), index)) {
      chunks.add(chunk(request, version, index));
    }
    if (isHit(faults.lateEvery(), index) && index >= LATENESS) {
      chunks.add(chunk(request, version, index - LATENESS));
    }
    return chunks;
  }

  private synchronized RunnerPort.CompletionRequest other(RunnerPort.CompletionRequest request) {
    if (!latest.requestId().equals(request.requestId())) {
      previous = latest;
      latest = request;
    }
    return previous;
  }

  private static boolean isHit(int every, int index) {
    return every > 0 && (index + 1) % every == 0;
  }

  private static RunnerPort.Event.Chunk chunk(
      RunnerPort.CompletionRequest request, String version, int index) {
    String word = RunnerStandin.word(request.prompt(), version, index);
    return new RunnerPort.Event.Chunk(request.requestId(), index, 1, word, version);
  }
}
