package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.HttpMethod;
import org.dragonflyhill.core.RefusalReason;
import org.testng.annotations.Test;

/** Tests of {@link CallParser}. */
public final class CallParserTest {

  private static final String CHAT_PATH = "/v1/chat/completions";

  @Test
  public void joinsChatMessagesInOrder() {
    String body =
        "{\"model\":\"m\",\"messages\":[{\"role\":\"system\",\"content\":\"a\"},"
            + "{\"role\":\"user\",\"content\":\"b\"}]}";
    var call = (Call.Completion) CallParser.parse(HttpMethod.POST, CHAT_PATH, body).get();
    assertEquals(call.prompt(), "<system>\na\n<user>\nb\n");
    assertTrue(call.isChat());
  }

  @Test
  public void reportsIndexOfInvalidMessage() {
    String body = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]}";
    var refusal = CallParser.parse(HttpMethod.POST, CHAT_PATH, body).getLeft();
    assertEquals(refusal.reason(), RefusalReason.BAD_REQUEST);
    assertTrue(refusal.detail().startsWith("messages[0]: expected"), refusal.detail());
  }

  @Test
  public void refusesTokenCountOutOfBounds() {
    String body = "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}";
    var refusal = CallParser.parse(HttpMethod.POST, "/v1/completions", body).getLeft();
    assertTrue(refusal.detail().startsWith("max_tokens: 0"), refusal.detail());
  }

  @Test
  public void refusesUnknownPath() {
    var refusal = CallParser.parse(HttpMethod.GET, "/v2/models", "").getLeft();
    assertEquals(refusal.reason(), RefusalReason.NOT_FOUND);
  }
}
