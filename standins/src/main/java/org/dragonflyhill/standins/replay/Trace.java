package org.dragonflyhill.standins.replay;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.dragonflyhill.ports.Json;

/**
 * Requests in order of arrival, and the time at which the measurement starts.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param requests the requests
 * @param measureFromMillis start of the measurement, in milliseconds since the start of the trace;
 *     requests that arrive earlier only warm up the caches
 */
public record Trace(List<TraceRequest> requests, long measureFromMillis) {

  /** Copies the list so that the record stays immutable. */
  public Trace {
    requests = List.copyOf(requests);
  }

  /** Reads a trace from a file of JSON lines, or returns an error message. */
  public static Either<String, Trace> read(Path file, long measureFromMillis) {
    List<String> lines;
    try {
      lines = Files.readAllLines(file);
    } catch (IOException e) {
      return Either.left(file + ": " + e.getMessage());
    }
    List<TraceRequest> requests = new ArrayList<>();
    for (int index = 0; index < lines.size(); index++) {
      Either<String, TraceRequest> request = Json.read(lines.get(index), TraceRequest.class);
      if (request.isLeft()) {
        return Either.left(file + ":" + (index + 1) + ": " + request.getLeft());
      }
      requests.add(request.get());
    }
    requests.sort(java.util.Comparator.comparingLong(TraceRequest::arrivalMillis));
    return Either.right(new Trace(requests, measureFromMillis));
  }

  /** Writes the requests as JSON lines. */
  public void write(Path file) throws IOException {
    Files.write(file, requests.stream().map(Json::write).toList());
  }
}
