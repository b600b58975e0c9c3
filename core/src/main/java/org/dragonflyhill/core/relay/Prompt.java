package org.dragonflyhill.core.relay;

import java.util.List;

/**
 * Description of a prompt, as given in the headers of its request. Immutable; no component is null.
 *
 * @param model name of the model
 * @param promptTokens number of tokens of the whole prompt
 * @param maxOutputTokens maximum number of tokens of the answer
 * @param parts parts of the prompt in order; the last one belongs to this request or session only
 */
public record Prompt(String model, int promptTokens, int maxOutputTokens, List<Part> parts) {

  /** Creates a prompt with a copy of the parts. */
  public Prompt {
    parts = List.copyOf(parts);
  }

  /** Returns the parts that other requests may share, which are all but the last. */
  public List<Part> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns keys that identify the shared parts among those of all models. */
  public List<String> sharedPartKeys() {
    return sharedParts().stream().map(part -> model + '/' + part.id()).toList();
  }

  /** Returns the maximum KV memory that the request may need, in tokens. */
  public int memoryTokens() {
    return promptTokens + maxOutputTokens;
  }

  /**
   * A part of a prompt.
   *
   * @param id identifier, equal for parts with equal content
   * @param tokens number of tokens
   */
  public record Part(String id, int tokens) {}
}
