package org.dragonflyhill.peer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A serialized configuration that one node sends to another, in parts that fit into frames.
 *
 * <p>This class does not verify the digest; the receiver of the state has to do so. Thread-safe; no
 * component is null. The array must not be modified.
 *
 * @param schema schema version of the content
 * @param throughOffset offset of the last record that the state includes
 * @param digest digest of the content
 * @param content the serialized configuration
 */
public record PeerState(int schema, long throughOffset, String digest, byte[] content) {

  /** Maximum length of the content that a node accepts. */
  static final int MAX_BYTES = 32 * 1_024 * 1_024;

  private static final int PART_BYTES = 48 * 1_024;

  /** Returns the messages that carry the parts of this state, in order. */
  List<PeerMessage.StateReply> parts() {
    int count = Math.max(1, (content.length + PART_BYTES - 1) / PART_BYTES);
    List<PeerMessage.StateReply> parts = new ArrayList<>();
    for (int part = 0; part < count; part++) {
      int from = part * PART_BYTES;
      byte[] bytes = Arrays.copyOfRange(content, from, Math.min(content.length, from + PART_BYTES));
      parts.add(
          new PeerMessage.StateReply(
              PeerMessage.SCHEMA, schema, throughOffset, digest, part, count, bytes));
    }
    return parts;
  }

  /** Returns the reply of a node whose state is not newer than that of the requesting node. */
  static PeerMessage.StateReply notAheadReply() {
    return new PeerMessage.StateReply(PeerMessage.SCHEMA, 0, -1, "", 0, 0, new byte[0]);
  }
}
