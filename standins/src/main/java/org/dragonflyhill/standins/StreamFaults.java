package org.dragonflyhill.standins;

import java.util.ArrayList;
import java.util.List;
import org.dragonflyhill.ports.RunnerPort;

/** Generates the chunks of completion streams and injects faults. Thread-safe; nothing is null. */
final class StreamFaults {

  /** Number of positions by which a late chunk is repeated after its own position. */
  private static final int LATE_CHUNK_DISTANCE = 3;

  private Faults currentFaults = Faults.NONE;
  private int remainingFaultyStreams;

  /** Request before the latest one; the source of crossed chunks, with a default for the first. */
  private RunnerPort.CompletionRequest previous =
      new RunnerPort.CompletionRequest(
          "no-request", "", "", "", "another prompt", List.of(), 1, 1, 0, false, List.of());

  private RunnerPort.CompletionRequest latest = previous;

  /**
   * Returns the faults of the next stream: the active ones, or none once the number of faulty
   * completions is reached. A new {@link Faults} object restarts the count.
   */
  synchronized Faults faultsOfNextStream(Faults activeFaults) {
    if (activeFaults != currentFaults) {
      currentFaults = activeFaults;
      remainingFaultyStreams = activeFaults.faultyCompletions();
    }
    if (activeFaults.faultyCompletions() == 0) {
      return activeFaults;
    }
    remainingFaultyStreams--;
    return remainingFaultyStreams >= 0 ? activeFaults : Faults.NONE;
  }

  /** Returns the chunks to send at the position of one token; none if a fault omits the chunk. */
  List<RunnerPort.Event.Chunk> chunks(
      Faults faults, RunnerPort.CompletionRequest request, String version, int index) {
    List<RunnerPort.Event.Chunk> chunks = new ArrayList<>();
    RunnerPort.CompletionRequest otherRequest = otherThan(request);
    if (isEveryNth(faults.crossedEvery(), index)) {
      chunks.add(chunk(otherRequest, version, index));
    }
    if (!isEveryNth(faults.gapEvery(), index)) {
      chunks.add(chunk(request, version, index));
    }
    if (isEveryNth(faults.duplicateEvery(), index)) {
      chunks.add(chunk(request, version, index));
    }
    if (isEveryNth(faults.lateEvery(), index) && index >= LATE_CHUNK_DISTANCE) {
      chunks.add(chunk(request, version, index - LATE_CHUNK_DISTANCE));
    }
    return chunks;
  }

  private synchronized RunnerPort.CompletionRequest otherThan(
      RunnerPort.CompletionRequest request) {
    if (!latest.requestId().equals(request.requestId())) {
      previous = latest;
      latest = request;
    }
    return previous;
  }

  private static boolean isEveryNth(int every, int index) {
    return every > 0 && (index + 1) % every == 0;
  }

  private static RunnerPort.Event.Chunk chunk(
      RunnerPort.CompletionRequest request, String version, int index) {
    String text = RunnerStandin.tokenText(request.prompt(), version, index);
    return new RunnerPort.Event.Chunk(request.requestId(), index, 1, text, version);
  }
}
