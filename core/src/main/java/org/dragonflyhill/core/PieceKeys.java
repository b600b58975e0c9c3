package org.dragonflyhill.core;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Splits a prompt into fixed-size pieces and computes the id of each piece.
 *
 * <p>An id is a keyed hash chain (HMAC-SHA-256) over the scope and the prompt up to the end of the
 * piece, so ids of different organisations, models, adapters or weight versions never match. A
 * partial piece at the end of the prompt gets no id, because it is not cached.
 *
 * <pre>{@code
 * PieceKeys keys = new PieceKeys(secret, 2_000);
 * List<Piece> pieces = keys.pieces(scope, prompt);
 * }</pre>
 *
 * <p>Immutable and thread-safe. Arguments must not be null.
 */
public final class PieceKeys {

  /** Number of tokens per piece that all deployments use. */
  public static final int DEFAULT_PIECE_TOKENS = 2_000;

  /** Number of UTF-8 bytes counted as one token, because the model's tokenizer is not available. */
  public static final int BYTES_PER_TOKEN = 4;

  private static final String ALGORITHM = "HmacSHA256";
  private static final byte[] TAG_DOMAIN = "organisation-tag".getBytes(StandardCharsets.UTF_8);

  private final byte[] secret;
  private final int pieceTokens;

  /**
   * Creates piece keys.
   *
   * @param secret HMAC key shared by all nodes, at least 16 bytes
   * @param pieceTokens number of tokens per piece, at least 1
   * @throws IllegalArgumentException if the secret is too short or {@code pieceTokens} is below 1
   */
  public PieceKeys(byte[] secret, int pieceTokens) {
    if (secret.length < 16) {
      throw new IllegalArgumentException(
          "secret: " + secret.length + " bytes, expected at least 16");
    }
    if (pieceTokens < 1) {
      throw new IllegalArgumentException("pieceTokens: " + pieceTokens + ", expected at least 1");
    }
    this.secret = secret.clone();
    this.pieceTokens = pieceTokens;
  }

  /** Estimates the number of tokens in a prompt from its length in bytes. */
  public static long estimateTokens(String prompt) {
    int bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
    return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
  }

  /** Returns the complete pieces of a prompt, in order. */
  public List<Piece> pieces(Scope scope, String prompt) {
    byte[] text = prompt.getBytes(StandardCharsets.UTF_8);
    int pieceBytes = pieceTokens * BYTES_PER_TOKEN;
    byte[] chain = hash(scope.encode(), new byte[0]);
    List<Piece> pieces = new ArrayList<>();
    for (int end = pieceBytes; end <= text.length; end += pieceBytes) {
      chain = hash(chain, Arrays.copyOfRange(text, end - pieceBytes, end));
      pieces.add(new Piece(HexFormat.of().formatHex(chain), pieceTokens));
    }
    return pieces;
  }

  /** Returns a keyed hash of an organisation's name, so that stores do not learn the name. */
  public String organisationTag(String organisation) {
    byte[] name = organisation.getBytes(StandardCharsets.UTF_8);
    return HexFormat.of().formatHex(hash(TAG_DOMAIN, name));
  }

  private byte[] hash(byte[] previous, byte[] part) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
      mac.update(previous);
      return mac.doFinal(part);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(ALGORITHM + " is missing from the Java runtime", e);
    }
  }

  /**
   * Values other than the prompt that determine the ids of pieces.
   *
   * @param organisation name of the organisation
   * @param model name of the model
   * @param adapter name of the adapter, empty if there is none
   * @param weightVersion version of the weights
   */
  public record Scope(String organisation, String model, String adapter, String weightVersion) {

    /** Encodes each component with a length prefix, so that different scopes never collide. */
    byte[] encode() {
      List<byte[]> parts = new ArrayList<>();
      for (String part : List.of(organisation, model, adapter, weightVersion)) {
        parts.add(part.getBytes(StandardCharsets.UTF_8));
      }
      int size = parts.stream().mapToInt(part -> Integer.BYTES + part.length).sum();
      ByteBuffer buffer = ByteBuffer.allocate(size);
      parts.forEach(part -> buffer.putInt(part.length).put(part));
      return buffer.array();
    }
  }

  /**
   * A complete piece of a prompt.
   *
   * @param id keyed hash in lower-case hexadecimal
   * @param tokens number of tokens
   */
  public record Piece(String id, int tokens) {}
}
