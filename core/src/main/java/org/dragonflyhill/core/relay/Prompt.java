package org.dragonflyhill.core.relay;

import java.util.List;

/**
 * What a request says about its prompt. Immutable; no component is null.
 *
 * @param model name of the model
 * @param promptTokens tokens of the whole prompt
 * @param maxOutputTokens most tokens that the answer may have
 * @param parts the prompt's parts in order; the last one is the request's or session's own
 */
public record Prompt(String model, int promptTokens, int maxOutputTokens, List<Part> parts) {

  /** Copies the parts. */
  public Prompt {
    parts = List.copyOf(parts);
  }

  /** Returns the parts that other requests may share: all but the last. */
  public List<Part> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns the memory that a run may need at its end, in tokens. */
  public int memoryTokens() {
    return promptTokens + maxOutputTokens;
  }

  /**
   * A part of a prompt.
   *
   * @param id identifier, the same for equal parts
   * @param tokens its length
   */
  public record Part(String id, int tokens) {}
}
