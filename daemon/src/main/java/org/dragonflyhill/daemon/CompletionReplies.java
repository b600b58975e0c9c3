package org.dragonflyhill.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.RunnerPort;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Converts the events of a completion into the reply to the caller, either a single JSON body or
 * server-sent events.
 *
 * <p>Stateless and thread-safe. Arguments must not be null.
 */
public final class CompletionReplies {

  /** Returns the reply for the events of a completion. */
  public Mono<Reply> reply(RequestContext context, Call.Completion call, Flux<AnswerEvent> events) {
    if (call.isStreamed()) {
      return Mono.just(
          new Reply.Stream(events.concatMapIterable(event -> streamEvents(context, call, event))));
    }
    return events
        .reduce(new AnswerCollector(), AnswerCollector::add)
        .map(answer -> answer.reply(context, call));
  }

  private static List<Reply.StreamEvent> streamEvents(
      RequestContext context, Call.Completion call, AnswerEvent event) {
    return switch (event) {
      case AnswerEvent.Text text ->
          List.of(new Reply.StreamEvent.Data(chunkBody(context, call, text.text()).toString()));
      case AnswerEvent.Complete complete ->
          List.of(
              new Reply.StreamEvent.Data(lastChunkBody(context, call, complete.end()).toString()),
              new Reply.StreamEvent.Complete());
      case AnswerEvent.Failed failed -> List.of(new Reply.StreamEvent.Failed(failed.refusal()));
    };
  }

  private static ObjectNode chunkBody(RequestContext context, Call.Completion call, String text) {
    ObjectNode body =
        responseBody(context, call, call.isChat() ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
    if (call.isChat()) {
      choice.putObject("delta").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.putNull("finish_reason");
    return body;
  }

  private static ObjectNode lastChunkBody(
      RequestContext context, Call.Completion call, RunnerPort.Event.End end) {
    ObjectNode body =
        responseBody(context, call, call.isChat() ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
    if (call.isChat()) {
      choice.putObject("delta");
    } else {
      choice.put("text", "");
    }
    choice.put("finish_reason", end.finishReason());
    addUsage(body, end);
    return body;
  }

  private static ObjectNode responseBody(
      RequestContext context, Call.Completion call, String object) {
    return Json.mapper()
        .createObjectNode()
        .put("id", context.requestId())
        .put("object", object)
        .put("created", context.receivedAt().getEpochSecond())
        .put("model", call.model());
  }

  private static void addUsage(ObjectNode body, RunnerPort.Event.End end) {
    ObjectNode usage = body.putObject("usage");
    usage.put("prompt_tokens", end.promptTokens());
    usage.put("completion_tokens", end.totalTokens());
    usage.put("total_tokens", end.promptTokens() + end.totalTokens());
    usage.putObject("prompt_tokens_details").put("cached_tokens", end.cachedTokens());
  }

  /** Collects the events of one response that is not streamed. Not thread-safe. */
  private static final class AnswerCollector {

    private final StringBuilder text = new StringBuilder();
    private AnswerEvent last = new AnswerEvent.Text("");

    AnswerCollector add(AnswerEvent event) {
      if (event instanceof AnswerEvent.Text part) {
        text.append(part.text());
      }
      last = event;
      return this;
    }

    Reply reply(RequestContext context, Call.Completion call) {
      return switch (last) {
        case AnswerEvent.Complete complete ->
            new Reply.Json(200, completeBody(context, call, complete.end()).toString());
        case AnswerEvent.Failed failed -> new Reply.Problem(failed.refusal());
        case AnswerEvent.Text part ->
            new Reply.Problem(
                Refusal.unknown(RefusalReason.STREAM_CUT, "the answer ended without its end"));
      };
    }

    private ObjectNode completeBody(
        RequestContext context, Call.Completion call, RunnerPort.Event.End end) {
      ObjectNode body =
          responseBody(context, call, call.isChat() ? "chat.completion" : "text_completion");
      ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
      if (call.isChat()) {
        choice.putObject("message").put("role", "assistant").put("content", text.toString());
      } else {
        choice.put("text", text.toString());
      }
      choice.put("finish_reason", end.finishReason());
      addUsage(body, end);
      return body;
    }
  }
}
