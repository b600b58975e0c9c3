package org.dragonflyhill.peer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A configuration as it goes from node to node, in parts that fit into frames.
 *
 * <p>The receiver checks the digest. Thread-safe; no component is null; nobody changes the array
 * after it was handed over.
 *
 * @param schema version of the state's form
 * @param throughOffset offset of the last record that the state includes
 * @param digest digest of the text
 * @param content the state's text
 */
public record PeerState(int schema, long throughOffset, String digest, byte[] content) {

  /** Most bytes that a node accepts as a state. */
  static final int MAX_BYTES = 32 * 1_024 * 1_024;

  private static final int PART_BYTES = 48 * 1_024;

  /** Returns the parts of this state. */
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

  /** Returns the reply of a node that has nothing newer. */
  static PeerMessage.StateReply notAheadReply() {
    return new PeerMessage.StateReply(PeerMessage.SCHEMA, 0, -1, "", 0, 0, new byte[0]);
  }
}
