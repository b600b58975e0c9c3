package org.dragonflyhill.daemon.relay;

import java.util.Map;
import java.util.Set;
import org.dragonflyhill.core.relay.PartFeed;
import org.dragonflyhill.core.relay.PeerReport;
import org.dragonflyhill.core.relay.StreamOrigin;

/** A datagram that nodes exchange. Immutable; no component is null. */
sealed interface PeerDatagram {

  /**
   * A node's report about itself.
   *
   * @param report the report
   */
  record Report(PeerReport report) implements PeerDatagram {}

  /**
   * Part changes that a node has read.
   *
   * @param node name of the sender
   * @param changes the changes
   */
  record Changes(String node, PartFeed.Changes changes) implements PeerDatagram {}

  /**
   * A piece of a snapshot of the parts that a node reads.
   *
   * @param node name of the sender
   * @param snapshot the piece
   */
  record Snapshot(String node, PartFeed.Snapshot snapshot) implements PeerDatagram {}

  /**
   * Where streams began.
   *
   * @param node name of the sender
   * @param origins the origins, by the id of the attempt that brought the first event
   */
  record StreamsBegun(String node, Map<String, StreamOrigin> origins) implements PeerDatagram {}

  /**
   * A question where a stream began.
   *
   * @param node name of the sender
   * @param attempt id of the attempt that brought its first event
   */
  record StreamQuery(String node, String attempt) implements PeerDatagram {}

  /**
   * The answer to a question about a stream that the sender does not know.
   *
   * @param node name of the sender
   * @param attempt id of the attempt
   */
  record StreamUnknown(String node, String attempt) implements PeerDatagram {}

  /**
   * The services whose runners a node cannot reach.
   *
   * @param node name of the sender
   * @param services names of the services
   */
  record OutOfReach(String node, Set<String> services) implements PeerDatagram {}

  /**
   * A request to send part changes again.
   *
   * @param node name of the sender
   * @param from number of the first change that it misses, {@link PartFeed#SNAPSHOT} for all
   */
  record Resend(String node, long from) implements PeerDatagram {}
}
