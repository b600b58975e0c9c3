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
 * Cuts a prompt into pieces and gives each piece an id that no other organisation, model or weight
 * version can reach.
 *
 * <p>An id is a keyed chain hash (HMAC-SHA-256) over the scope and all of the prompt up to the
 * piece's end. A last piece that is not full has no id, since it is not kept.
 *
 * <pre>{@code
 * PieceKeys keys = new PieceKeys(secret, 2_000);
 * List<Piece> pieces = keys.pieces(scope, prompt);
 * }</pre>
 *
 * <p>Immutable and thread-safe; no argument may be null.
 */
public final class PieceKeys {

  /** Tokens of one piece in both deployments. */
  public static final int DEFAULT_PIECE_TOKENS = 2_000;

  /** Bytes of UTF-8 that count as one token where no tokenizer of the model is at hand. */
  public static final int BYTES_PER_TOKEN = 4;

  private static final String ALGORITHM = "HmacSHA256";
  private static final byte[] TAG_DOMAIN = "organisation-tag".getBytes(StandardCharsets.UTF_8);

  private final byte[] secret;
  private final int pieceTokens;

  /**
   * Creates piece keys.
   *
   * @param secret key shared by the nodes, at least 16 bytes
   * @param pieceTokens tokens of one piece, at least 1
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

  /** Returns the number of tokens that a prompt counts as. */
  public static long estimateTokens(String prompt) {
    int bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
    return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
  }

  /** Returns the full pieces of a prompt, in order. */
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

  /** Returns a keyed hash of an organisation, which tells a store nothing of its name. */
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
   * What a piece's id depends on besides the prompt.
   *
   * @param organisation name of the organisation
   * @param model name of the model
   * @param adapter name of the adapter, empty for none
   * @param weightVersion version of the weights
   */
  public record Scope(String organisation, String model, String adapter, String weightVersion) {

    /** Returns the components, each behind its length so that no two scopes collide. */
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
   * A full piece of a prompt.
   *
   * @param id lower-case hexadecimal keyed hash
   * @param tokens number of tokens
   */
  public record Piece(String id, int tokens) {}
}
