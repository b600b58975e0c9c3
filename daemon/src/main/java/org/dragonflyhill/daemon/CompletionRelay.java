package org.dragonflyhill.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.platform.Json;
import org.dragonflyhill.platform.PlatformError;
import org.dragonflyhill.platform.RunnerPort;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Turns the events of a runner into the answer of the caller, plain or streamed.
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
public final class CompletionRelay {

  private static final String DONE = "[DONE]";

  /** Returns the reply for a runner's events. */
  public Mono<Reply> reply(
      RequestContext context, Call.Completion call, Flux<RunnerPort.Event> events) {
    if (call.isStreamed()) {
      return Mono.just(
          new Reply.Stream(
              events.map(event -> streamed(context, call, event)).concatWith(Flux.just(DONE))));
    }
    return events.reduce(new Answer(), Answer::add).map(answer -> answer.reply(context, call));
  }

  private String streamed(RequestContext context, Call.Completion call, RunnerPort.Event event) {
    return switch (event) {
      case RunnerPort.Event.Chunk chunk -> chunkBody(context, call, chunk).toString();
      case RunnerPort.Event.End end -> endBody(context, call, end).toString();
      case RunnerPort.Event.Failed failed ->
          HttpFrontend.problemBody(context.requestId(), refusal(failed.error()));
    };
  }

  private static ObjectNode chunkBody(
      RequestContext context, Call.Completion call, RunnerPort.Event.Chunk chunk) {
    ObjectNode body =
        base(context, call, call.isChat() ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
    if (call.isChat()) {
      choice.putObject("delta").put("content", chunk.text());
    } else {
      choice.put("text", chunk.text());
    }
    choice.putNull("finish_reason");
    return body;
  }

  private static ObjectNode endBody(
      RequestContext context, Call.Completion call, RunnerPort.Event.End end) {
    ObjectNode body =
        base(context, call, call.isChat() ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
    if (call.isChat()) {
      choice.putObject("delta");
    } else {
      choice.put("text", "");
    }
    choice.put("finish_reason", end.finishReason());
    usage(body, end);
    return body;
  }

  private static ObjectNode base(RequestContext context, Call.Completion call, String object) {
    return Json.mapper()
        .createObjectNode()
        .put("id", context.requestId())
        .put("object", object)
        .put("created", context.receivedAt().getEpochSecond())
        .put("model", call.model());
  }

  private static void usage(ObjectNode body, RunnerPort.Event.End end) {
    ObjectNode usage = body.putObject("usage");
    usage.put("prompt_tokens", end.promptTokens());
    usage.put("completion_tokens", end.totalTokens());
    usage.put("total_tokens", end.promptTokens() + end.totalTokens());
    usage.putObject("prompt_tokens_details").put("cached_tokens", end.cachedTokens());
  }

  private static Refusal refusal(PlatformError error) {
    return error.isWithoutEffect()
        ? Refusal.notRun(RefusalReason.ENDPOINT_FAILED, "the runner was not reached")
        : Refusal.unknown(RefusalReason.ENDPOINT_FAILED, "the runner gave no whole answer");
  }

  /** Gathers a whole answer. Not thread-safe: one for each request. */
  private static final class Answer {

    private final StringBuilder text = new StringBuilder();
    private RunnerPort.Event last =
        new RunnerPort.Event.Failed(new PlatformError.Lost("no event came"));

    Answer add(RunnerPort.Event event) {
      if (event instanceof RunnerPort.Event.Chunk chunk) {
        text.append(chunk.text());
      }
      last = event;
      return this;
    }

    Reply reply(RequestContext context, Call.Completion call) {
      return switch (last) {
        case RunnerPort.Event.End end -> new Reply.Json(200, whole(context, call, end).toString());
        case RunnerPort.Event.Failed failed -> new Reply.Problem(refusal(failed.error()));
        case RunnerPort.Event.Chunk chunk ->
            new Reply.Problem(
                Refusal.unknown(RefusalReason.STREAM_CUT, "the runner's stream was cut"));
      };
    }

    private ObjectNode whole(
        RequestContext context, Call.Completion call, RunnerPort.Event.End end) {
      ObjectNode body = base(context, call, call.isChat() ? "chat.completion" : "text_completion");
      ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
      if (call.isChat()) {
        choice.putObject("message").put("role", "assistant").put("content", text.toString());
      } else {
        choice.put("text", text.toString());
      }
      choice.put("finish_reason", end.finishReason());
      usage(body, end);
      return body;
    }
  }
}
