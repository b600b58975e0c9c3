package org.dragonflyhill.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Supplier;
import org.dragonflyhill.core.relay.Route;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.StreamOrigin;
import org.dragonflyhill.core.relay.StreamOrigins;
import org.dragonflyhill.ports.LogEvent;

/** Log lines and counters of one caller's request, which each line names. */
final class RequestLog {

  /** Age of a request from which its sending is logged; callers wait as long for a sign of it. */
  private static final Duration LATE_SENDING = Duration.ofSeconds(1);

  private final RelayState state;
  private final Supplier<String> requestId;
  private final RequestTimes times;

  /**
   * Creates the log of a request.
   *
   * @param state state of the node
   * @param requestId returns the id of the request, "" until it is known
   * @param times when the request reached each stage
   */
  RequestLog(RelayState state, Supplier<String> requestId, RequestTimes times) {
    this.state = state;
    this.requestId = requestId;
    this.times = times;
  }

  /** Logs an event of an attempt, which gives it its name, and counts it. */
  void attempt(
      String event,
      Route route,
      RunnerAttempt attempt,
      int number,
      long configuration,
      String detail) {
    state.metrics().count("relay." + event);
    Instant now = state.now();
    state
        .log()
        .info(
            event,
            line ->
                times
                    .addTo(named(line, route, attempt), now)
                    .with("attempt", number)
                    .with("configuration", configuration)
                    .with("detail", detail));
  }

  /** Logs a request that was sent so late that its caller may have given up. */
  void sentLate(Route route, RunnerAttempt attempt, Duration timeLeft) {
    Instant now = state.now();
    if (times.maxAge(now).compareTo(LATE_SENDING) < 0) {
      return;
    }
    state.metrics().count("relay.sent_late");
    state
        .log()
        .info(
            "sent_late",
            line ->
                times.addTo(named(line, route, attempt), now).with("left_ms", timeLeft.toMillis()));
  }

  /**
   * Logs that the caller has closed the connection while a runner was asked.
   *
   * @param timeLeft time that the caller had left
   * @param maxUnread the longest time for which the close may have lain unread
   */
  void callerGone(Route route, RunnerAttempt attempt, Duration timeLeft, Duration maxUnread) {
    Instant now = state.now();
    state
        .log()
        .info(
            "caller_gone",
            line ->
                times
                    .addTo(named(line, route, attempt), now)
                    .with("left_ms", timeLeft.toMillis())
                    .with("close_unread_ms", maxUnread.toMillis())
                    .with("unwritten_bytes", attempt.unwrittenBytes()));
  }

  private LogEvent named(LogEvent line, Route route, RunnerAttempt attempt) {
    return line.with("request", requestId.get())
        .with("route", route.name())
        .with("runner", attempt.runner.id());
  }

  void streamTakenUp(String begunBy, StreamOrigin origin, Optional<StreamOrigins.Known> known) {
    state.metrics().count("relay.streams_taken_up");
    state
        .log()
        .info(
            "stream_taken_up",
            event ->
                event
                    .with("request", requestId.get())
                    .with("begun_by", begunBy)
                    .with("software", origin.softwareVersion())
                    .with("source", known.map(StreamOrigins.Known::source).orElse("sole version"))
                    .with(
                        "known_ms",
                        known
                            .map(k -> Duration.between(k.recordedAt(), state.now()).toMillis())
                            .orElse(0L)));
  }

  void streamResumed(String begunBy, String lastEventId, Runner runner) {
    state
        .log()
        .info(
            "stream_resumed",
            event ->
                event
                    .with("request", requestId.get())
                    .with("begun_by", begunBy)
                    .with("last_event", lastEventId)
                    .with("runner", runner.id())
                    .with("software", runner.info().softwareVersion().orElse("unknown")));
  }

  void forwarded(String service, String peer) {
    state.metrics().count("relay.forwarded");
    state
        .log()
        .info(
            "request_forwarded",
            event ->
                event.with("request", requestId.get()).with("service", service).with("peer", peer));
  }

  void peerFailed(ForwardedRequest forwarded, String reason) {
    state.metrics().count("relay.peer_failed");
    state
        .log()
        .info(
            "peer_failed",
            event ->
                event
                    .with("request", requestId.get())
                    .with("peer", forwarded.peer())
                    .with("sent", forwarded.isSent())
                    .with("detail", reason));
  }

  void waits(Route route, int rank, String explanation) {
    state.metrics().count("relay.waited");
    state
        .log()
        .info(
            "request_waits",
            event ->
                event
                    .with("request", requestId.get())
                    .with("route", route.name())
                    .with("rank", rank)
                    .with("detail", explanation));
  }

  void retryDenied(Route route, String reason, String obstacle) {
    state.metrics().count("relay.retry_denied");
    state
        .log()
        .info(
            "retry_denied",
            event ->
                event
                    .with("request", requestId.get())
                    .with("route", route.name())
                    .with("reason", reason)
                    .with("detail", obstacle));
  }

  void answerBrokenOff(String reason) {
    state.metrics().count("relay.broken_off");
    state
        .log()
        .info(
            "answer_broken_off",
            event -> event.with("request", requestId.get()).with("reason", reason));
  }

  /** Logs an error in the node itself, with the place in the code. */
  void stepFailed(Throwable error) {
    StackTraceElement[] trace = error.getStackTrace();
    state.metrics().count("relay.internal_errors");
    state
        .log()
        .info(
            "request_failed",
            event ->
                event
                    .with("request", requestId.get())
                    .with("error", error.toString())
                    .with("at", trace.length == 0 ? "" : trace[0].toString()));
  }
}
