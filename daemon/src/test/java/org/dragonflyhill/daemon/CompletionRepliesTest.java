package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.RunnerPort;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;

/** Tests of {@link CompletionReplies}. */
public final class CompletionRepliesTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final AnswerEvent TEXT = new AnswerEvent.Text("a \"quoted\" word ");
  private static final AnswerEvent COMPLETE =
      new AnswerEvent.Complete(new RunnerPort.Event.End("r", 1, 10, 4, 0, "stop"));
  private static final AnswerEvent FAILED =
      new AnswerEvent.Failed(Refusal.unknown(RefusalReason.STREAM_CUT, "cut"));

  private static Reply reply(boolean isStreamed, AnswerEvent... events) {
    var headers =
        new RequestContext.Headers(
            Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    var call = new Call.Completion("m", "prompt", 1, isStreamed, false);
    var context =
        new RequestContext("r", Instant.EPOCH, headers, call, Optional.empty(), Optional.empty());
    return new CompletionReplies().reply(context, call, Flux.just(events)).block(TIMEOUT);
  }

  private static List<Reply.StreamEvent> streamEvents(AnswerEvent... events) {
    return ((Reply.Stream) reply(true, events)).events().collectList().block(TIMEOUT);
  }

  @Test
  public void completeStreamEndsWithUsageAndCompletionEvent() {
    List<Reply.StreamEvent> events = streamEvents(TEXT, COMPLETE);
    assertEquals(events.size(), 3);
    JsonNode first = Json.readTree(((Reply.StreamEvent.Data) events.getFirst()).body()).get();
    assertEquals(first.at("/choices/0/text").asText(), "a \"quoted\" word ");
    JsonNode end = Json.readTree(((Reply.StreamEvent.Data) events.get(1)).body()).get();
    assertEquals(end.at("/usage/completion_tokens").asInt(), 1);
    assertEquals(events.getLast(), new Reply.StreamEvent.Complete());
  }

  @Test
  public void failedStreamNeverContainsCompletionEvent() {
    List<Reply.StreamEvent> events = streamEvents(TEXT, FAILED);
    assertTrue(events.getLast() instanceof Reply.StreamEvent.Failed, events.toString());
    assertTrue(!events.contains(new Reply.StreamEvent.Complete()), events.toString());
  }

  @Test
  public void failedPlainAnswerIsProblemWithoutText() {
    Reply.Problem problem = (Reply.Problem) reply(false, TEXT, FAILED);
    assertEquals(problem.refusal().reason(), RefusalReason.STREAM_CUT);
  }

  @Test
  public void plainAnswerWithoutLastEventIsProblem() {
    Reply.Problem problem = (Reply.Problem) reply(false, TEXT);
    assertEquals(problem.refusal().reason(), RefusalReason.STREAM_CUT);
  }
}
