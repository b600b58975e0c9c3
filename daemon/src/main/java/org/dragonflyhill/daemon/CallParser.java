package org.dragonflyhill.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.ports.Json;

/**
 * Parses the HTTP method, path and body of a request into a {@link Call}.
 *
 * <pre>{@code
 * Either<Refusal, Call> call = CallParser.parse(HttpMethod.POST, "/v1/completions", body);
 * }</pre>
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
final class CallParser {

  private static final Pattern SERVICE_PATH =
      Pattern.compile("/v1/services/([a-z0-9.-]+)/([a-z0-9.-]+)");
  private static final Pattern OUTCOME_PATH =
      Pattern.compile("/v1/requests/([A-Za-z0-9._:-]{1,128})");
  private static final int DEFAULT_MAX_TOKENS = 256;
  private static final int MAX_TOKENS_LIMIT = 32_768;

  private CallParser() {}

  static Either<Refusal, Call> parse(HttpMethod method, String path, String body) {
    Matcher outcome = OUTCOME_PATH.matcher(path);
    if (outcome.matches()) {
      return method.equals(HttpMethod.GET)
          ? Either.right(new Call.OutcomeQuery(outcome.group(1)))
          : methodNotAllowed(method, path, "GET");
    }
    Matcher service = SERVICE_PATH.matcher(path);
    boolean isChat = path.equals("/v1/chat/completions");
    boolean isCompletion = isChat || path.equals("/v1/completions");
    if (!service.matches() && !isCompletion) {
      return Either.left(
          Refusal.notRun(RefusalReason.NOT_FOUND, "no such path: " + truncated(path)));
    }
    if (!method.equals(HttpMethod.POST)) {
      return methodNotAllowed(method, path, "POST");
    }
    Either<Refusal, JsonNode> json =
        Json.readTree(body).mapLeft(error -> badRequest("body: malformed JSON: " + error));
    if (!isCompletion) {
      return json.map(
          tree -> new Call.ServiceCall(service.group(1), service.group(2), tree.toString()));
    }
    return json.flatMap(tree -> completion(tree, isChat));
  }

  private static Either<Refusal, Call> completion(JsonNode tree, boolean isChat) {
    if (!tree.isObject()) {
      return Either.left(badRequest("body: expected a JSON object"));
    }
    if (!tree.path("model").isTextual()) {
      return Either.left(badRequest("model: expected a string"));
    }
    JsonNode maxTokens = tree.path("max_tokens");
    boolean hasMaxTokens = !maxTokens.isMissingNode() && !maxTokens.isNull();
    if (hasMaxTokens && !isTokenCount(maxTokens)) {
      return Either.left(
          badRequest(
              "max_tokens: "
                  + maxTokens
                  + ", expected a whole number from 1 to "
                  + MAX_TOKENS_LIMIT));
    }
    JsonNode stream = tree.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      return Either.left(badRequest("stream: " + stream + ", expected true or false"));
    }
    Either<Refusal, String> prompt = isChat ? chatPrompt(tree) : textPrompt(tree);
    return prompt.map(
        text ->
            new Call.Completion(
                tree.path("model").asText(),
                text,
                hasMaxTokens ? maxTokens.asInt() : DEFAULT_MAX_TOKENS,
                stream.asBoolean(false),
                isChat));
  }

  private static boolean isTokenCount(JsonNode node) {
    return node.isIntegralNumber()
        && node.canConvertToInt()
        && node.asInt() >= 1
        && node.asInt() <= MAX_TOKENS_LIMIT;
  }

  private static Either<Refusal, String> textPrompt(JsonNode tree) {
    JsonNode prompt = tree.path("prompt");
    return prompt.isTextual()
        ? Either.right(prompt.asText())
        : Either.left(badRequest("prompt: expected a string"));
  }

  private static Either<Refusal, String> chatPrompt(JsonNode tree) {
    JsonNode messages = tree.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      return Either.left(badRequest("messages: expected a non-empty list"));
    }
    StringBuilder prompt = new StringBuilder();
    for (int i = 0; i < messages.size(); i++) {
      JsonNode message = messages.get(i);
      if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
        return Either.left(badRequest("messages[" + i + "]: expected strings role and content"));
      }
      prompt.append('<').append(message.path("role").asText()).append(">\n");
      prompt.append(message.path("content").asText()).append('\n');
    }
    return Either.right(prompt.toString());
  }

  private static Either<Refusal, Call> methodNotAllowed(
      HttpMethod method, String path, String expected) {
    return Either.left(
        Refusal.notRun(
            RefusalReason.METHOD_NOT_ALLOWED,
            method + " " + truncated(path) + ": expected " + expected));
  }

  private static Refusal badRequest(String detail) {
    return Refusal.notRun(RefusalReason.BAD_REQUEST, detail);
  }

  private static String truncated(String path) {
    return path.length() <= 100 ? path : path.substring(0, 100) + "...";
  }
}
