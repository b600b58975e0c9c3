package org.dragonflyhill.standins;

import java.util.ArrayList;
import java.util.List;
import org.dragonflyhill.ports.RunnerPort;

/** Makes the chunks of a runner's streams, sound or faulty. Thread-safe; nothing is null. */
final class StreamFaults {

  /** Chunks by which a late chunk comes after its place. */
  private static final int LATE_CHUNK_DISTANCE = 3;

  private Faults currentFaults = Faults.NONE;
  private int remainingFaultyStreams;
  private RunnerPort.CompletionRequest previous =
      new RunnerPort.CompletionRequest(
          "no-request", "", "", "", "another prompt", List.of(), 1, 1, 0, false, List.of());
  private RunnerPort.CompletionRequest latest = previous;

  /** Returns the failures of the next stream and counts it. */
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

  /** Returns what is sent in the place of one token. */
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
