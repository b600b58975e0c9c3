package org.dragonflyhill.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * One message between entry hosts.
 *
 * <p>Unknown fields are ignored and messages of unknown types are skipped, so that neighbouring
 * versions run side by side. All variants are thread-safe; no component is null; nobody changes an
 * array after it was handed over.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerMessage.Challenge.class, name = "challenge"),
  @JsonSubTypes.Type(value = PeerMessage.Proof.class, name = "proof"),
  @JsonSubTypes.Type(value = PeerMessage.Confirmation.class, name = "confirmation"),
  @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "heartbeat"),
  @JsonSubTypes.Type(value = PeerMessage.StateRequest.class, name = "state_request"),
  @JsonSubTypes.Type(value = PeerMessage.StateReply.class, name = "state_reply"),
  @JsonSubTypes.Type(value = PeerMessage.OutcomeRequest.class, name = "outcome_question"),
  @JsonSubTypes.Type(value = PeerMessage.OutcomeReply.class, name = "outcome_answer")
})
public sealed interface PeerMessage {

  /** Version of the messages that this program writes. */
  int SCHEMA = 1;

  /** Returns the version of the program's messages. */
  int schema();

  /**
   * First message of the listening node.
   *
   * @param schema version of its messages
   * @param node its name
   * @param nonce random bytes, new for each connection
   */
  record Challenge(int schema, String node, byte[] nonce) implements PeerMessage {}

  /**
   * Answer of the connecting node, which proves that it holds the secret.
   *
   * @param schema version of its messages
   * @param node its name
   * @param nonce random bytes, new for each connection
   * @param mac code over both nonces and both names
   */
  record Proof(int schema, String node, byte[] nonce, byte[] mac) implements PeerMessage {}

  /**
   * Proof that the listening node holds the secret too.
   *
   * @param schema version of its messages
   * @param mac code over both nonces and both names
   */
  record Confirmation(int schema, byte[] mac) implements PeerMessage {}

  /**
   * What a node knows of itself and of some others.
   *
   * @param schema version of its messages
   * @param node name of the node
   * @param offset offset of the last configuration record it folded, -1 for none
   * @param version version of its configuration, -1 for none
   * @param digest digest of its configuration
   * @param reports what it knows of some other nodes
   */
  record Heartbeat(
      int schema, String node, long offset, long version, String digest, List<NodeReport> reports)
      implements PeerMessage {
    /** Copies the list so that the record stays immutable. */
    public Heartbeat {
      reports = List.copyOf(reports);
    }
  }

  /**
   * Asks for the whole configuration.
   *
   * @param schema version of the messages
   * @param aheadOf answered with an empty reply unless the state goes beyond this offset
   */
  record StateRequest(int schema, long aheadOf) implements PeerMessage {}

  /**
   * One part of a configuration.
   *
   * @param schema version of the messages
   * @param stateSchema version of the state's form
   * @param through offset of the last record that the state includes
   * @param digest digest of the whole text
   * @param part number of this part, from 0
   * @param parts number of parts, 0 where the node has nothing newer
   * @param bytes bytes of this part
   */
  record StateReply(
      int schema, int stateSchema, long through, String digest, int part, int parts, byte[] bytes)
      implements PeerMessage {}

  /**
   * Asks what became of a non-repeatable request.
   *
   * @param schema version of the messages
   * @param organisation name of the organisation
   * @param idempotencyKey the caller's key
   */
  record OutcomeRequest(int schema, String organisation, String idempotencyKey)
      implements PeerMessage {}

  /**
   * What a node knows of a non-repeatable request.
   *
   * @param schema version of the messages
   * @param outcome what became of it
   */
  record OutcomeReply(int schema, Outcome outcome) implements PeerMessage {}

  /**
   * What one node heard of another.
   *
   * @param node name of the node
   * @param offset offset of the last configuration record it folded
   * @param version version of its configuration
   * @param ageMillis time since the node said so, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record NodeReport(String node, long offset, long version, long ageMillis) {}

  /** What became of a non-repeatable request, as far as a node knows. */
  enum Outcome {
    /** It runs. */
    RUNNING,
    /** This node did not send it and will not. */
    NOT_DISPATCHED,
    /** It ran and its answer is in the log. */
    SETTLED,
    /** The node cannot tell. */
    UNKNOWN
  }
}
