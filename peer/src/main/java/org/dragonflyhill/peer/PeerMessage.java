package org.dragonflyhill.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * A message between nodes.
 *
 * <p>A node ignores unknown fields and skips messages of unknown types, so that nodes of adjacent
 * versions can run together. All variants are thread-safe; no component is null. An array must not
 * be modified after it was passed to a message or taken from it.
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

  /** Schema version of the messages that this version of the program sends. */
  int SCHEMA = 1;

  /** Returns the schema version of the message. */
  int schema();

  /**
   * First message on a connection, sent by the node that accepted it.
   *
   * @param schema schema version of the message
   * @param node name of the sender
   * @param nonce random bytes, generated for each connection
   */
  record Challenge(int schema, String node, byte[] nonce) implements PeerMessage {}

  /**
   * Reply of the connecting node to the challenge, which proves that it knows the shared secret.
   *
   * @param schema schema version of the message
   * @param node name of the sender
   * @param nonce random bytes, generated for each connection
   * @param mac message authentication code over the nonces and names of both nodes
   */
  record Proof(int schema, String node, byte[] nonce, byte[] mac) implements PeerMessage {}

  /**
   * Reply of the listening node, which proves that it knows the shared secret too.
   *
   * @param schema schema version of the message
   * @param mac message authentication code over the nonces and names of both nodes
   */
  record Confirmation(int schema, byte[] mac) implements PeerMessage {}

  /**
   * State of the sender, and what it knows about some other nodes.
   *
   * @param schema schema version of the message
   * @param node name of the sender
   * @param offset offset of the last configuration record that it applied, -1 for none
   * @param version version of its configuration, which is the offset of the last accepted change,
   *     -1 for none
   * @param digest digest of its configuration
   * @param reports what it knows about some other nodes
   */
  record Heartbeat(
      int schema, String node, long offset, long version, String digest, List<NodeReport> reports)
      implements PeerMessage {
    /** Copies the list to keep the record immutable. */
    public Heartbeat {
      reports = List.copyOf(reports);
    }
  }

  /**
   * Asks for the whole configuration of the receiver, if it is newer than that of the sender.
   *
   * @param schema schema version of the message
   * @param aheadOf offset of the last record in the configuration of the sender; the reply has no
   *     parts unless the configuration of the receiver includes later records
   */
  record StateRequest(int schema, long aheadOf) implements PeerMessage {}

  /**
   * One part of the serialized configuration of the sender.
   *
   * @param schema schema version of the message
   * @param stateSchema schema version of the serialized configuration
   * @param through offset of the last record that the configuration includes
   * @param digest digest of all parts together
   * @param part index of this part, from 0
   * @param parts number of parts, 0 if the configuration of the sender is not newer
   * @param bytes content of this part
   */
  record StateReply(
      int schema, int stateSchema, long through, String digest, int part, int parts, byte[] bytes)
      implements PeerMessage {}

  /**
   * Asks for the outcome of a non-repeatable request.
   *
   * @param schema schema version of the message
   * @param organisation name of the organisation that sent the request
   * @param idempotencyKey idempotency key of the request
   */
  record OutcomeRequest(int schema, String organisation, String idempotencyKey)
      implements PeerMessage {}

  /**
   * Outcome of a non-repeatable request as far as the sender knows it.
   *
   * @param schema schema version of the message
   * @param outcome outcome of the request
   */
  record OutcomeReply(int schema, Outcome outcome) implements PeerMessage {}

  /**
   * What the sender of a heartbeat knows about another node.
   *
   * @param node name of the other node
   * @param offset offset of the last configuration record that it applied
   * @param version version of its configuration
   * @param ageMillis time since the other node reported this state, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record NodeReport(String node, long offset, long version, long ageMillis) {}

  /** Outcome of a non-repeatable request as far as a node knows it. */
  enum Outcome {
    /** The request is running. */
    RUNNING,
    /** The node did not send the request to an endpoint and will not do so. */
    NOT_DISPATCHED,
    /** The request has ended and its outcome is in the log. */
    SETTLED,
    /** The node does not know the outcome. */
    UNKNOWN
  }
}
