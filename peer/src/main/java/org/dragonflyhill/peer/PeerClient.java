package org.dragonflyhill.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;

/**
 * Sends requests to other nodes and opens one connection for each request.
 *
 * <pre>{@code
 * PeerClient client = new PeerClient("node-a", secret, traffic, Duration.ofSeconds(2));
 * Mono<Either<PeerError, PeerMessage.Heartbeat>> reply =
 *     client.exchangeHeartbeats(address, heartbeat);
 * }</pre>
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class PeerClient {

  private final String node;
  private final PeerSecret secret;
  private final PeerTraffic traffic;
  private final Duration timeout;
  private final TcpClient client;

  /**
   * Creates a client.
   *
   * @param node name of this node
   * @param secret the secret that all nodes share
   * @param traffic counts the sent and received bytes
   * @param timeout time limit for connecting, and for each wait for the next message
   */
  public PeerClient(String node, PeerSecret secret, PeerTraffic traffic, Duration timeout) {
    this.node = node;
    this.secret = secret;
    this.traffic = traffic;
    this.timeout = timeout;
    client =
        TcpClient.create(ConnectionProvider.newConnection())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(timeout.toMillis()))
            .doOnConnected(connection -> connection.addHandlerLast(PeerCodec.frameDecoder()));
  }

  /** Sends a heartbeat to a peer and returns the heartbeat of the peer. */
  public Mono<Either<PeerError, PeerMessage.Heartbeat>> exchangeHeartbeats(
      String address, PeerMessage.Heartbeat heartbeat) {
    return toEither(
        address,
        exchange(address, heartbeat, message -> true).cast(PeerMessage.Heartbeat.class).single());
  }

  /**
   * Returns the configuration of a peer, or empty if it includes no records after an offset.
   *
   * @param address address of the peer, as {@code host:port}
   * @param offset offset of the last configuration record that this node has applied
   */
  public Mono<Either<PeerError, Optional<PeerState>>> fetchStateAheadOf(
      String address, long offset) {
    var request = new PeerMessage.StateRequest(PeerMessage.SCHEMA, offset);
    Mono<Optional<PeerState>> state =
        exchange(address, request, PeerClient::isLast)
            .cast(PeerMessage.StateReply.class)
            .collect(StateAssembler::new, StateAssembler::add)
            .map(StateAssembler::state);
    return toEither(address, state);
  }

  /** Asks a peer for the outcome of a non-repeatable request. */
  public Mono<Either<PeerError, PeerMessage.Outcome>> fetchOutcome(
      String address, String organisation, String idempotencyKey) {
    var request = new PeerMessage.OutcomeRequest(PeerMessage.SCHEMA, organisation, idempotencyKey);
    return toEither(
        address,
        exchange(address, request, message -> true)
            .cast(PeerMessage.OutcomeReply.class)
            .map(PeerMessage.OutcomeReply::outcome)
            .single());
  }

  private Flux<PeerMessage> exchange(
      String address, PeerMessage request, Predicate<PeerMessage> isLast) {
    int colon = address.lastIndexOf(':');
    return client
        .host(address.substring(0, colon))
        .port(Integer.parseInt(address.substring(colon + 1)))
        .connect()
        .flatMapMany(connection -> new Session(connection, request).replies(isLast));
  }

  private static boolean isLast(PeerMessage message) {
    return !(message instanceof PeerMessage.StateReply reply) || reply.part() + 1 >= reply.parts();
  }

  private static <T> Mono<Either<PeerError, T>> toEither(String address, Mono<T> reply) {
    return reply
        .map(Either::<PeerError, T>right)
        .onErrorResume(error -> Mono.just(Either.left(classify(address, error))));
  }

  private static PeerError classify(String address, Throwable error) {
    return switch (error) {
      case PeerException peerException -> peerException.error();
      case ClassCastException wrongType ->
          new PeerError.Malformed(address + ": unexpected type of reply");
      default -> new PeerError.Unreachable(address + ": " + error);
    };
  }

  /** A connection to a peer. Not thread-safe: one thread uses it at a time. */
  private final class Session {

    private final Connection connection;
    private final PeerMessage request;
    private final byte[] nonce = secret.nonce();
    private Optional<PeerMessage.Challenge> challenge = Optional.empty();
    private boolean isServerAuthenticated;

    Session(Connection connection, PeerMessage request) {
      this.connection = connection;
      this.request = request;
    }

    Flux<PeerMessage> replies(Predicate<PeerMessage> isLast) {
      return connection
          .inbound()
          .receive()
          .asByteArray()
          .concatMap(frame -> handleFrame(traffic.countReceived(frame)))
          .takeUntil(isLast)
          .timeout(timeout)
          .doFinally(signal -> connection.dispose());
    }

    private Flux<PeerMessage> handleFrame(byte[] frame) {
      var read = PeerCodec.decode(frame);
      if (read.isLeft()) {
        return Flux.error(new PeerException(new PeerError.Malformed(read.getLeft())));
      }
      if (isServerAuthenticated) {
        return Flux.fromStream(read.get().stream());
      }
      return switch (read.get().orElse(null)) {
        case PeerMessage.Challenge received when challenge.isEmpty() -> sendProof(received);
        case PeerMessage.Confirmation confirmation when challenge.isPresent() ->
            verifyConfirmation(challenge.get(), confirmation);
        case null, default ->
            Flux.error(
                new PeerException(
                    new PeerError.Malformed("unexpected message during authentication")));
      };
    }

    private Flux<PeerMessage> sendProof(PeerMessage.Challenge received) {
      challenge = Optional.of(received);
      byte[] mac = secret.mac(PeerSecret.Side.CONNECTING, received, node, nonce);
      return send(new PeerMessage.Proof(PeerMessage.SCHEMA, node, nonce, mac));
    }

    private Flux<PeerMessage> verifyConfirmation(
        PeerMessage.Challenge received, PeerMessage.Confirmation confirmation) {
      byte[] expected = secret.mac(PeerSecret.Side.LISTENING, received, node, nonce);
      if (!PeerSecret.isSameMac(expected, confirmation.mac())) {
        return Flux.error(new PeerException(new PeerError.NotAuthenticated(received.node())));
      }
      isServerAuthenticated = true;
      return send(request);
    }

    private Flux<PeerMessage> send(PeerMessage message) {
      byte[] frame = traffic.countSent(PeerCodec.encode(message));
      return connection
          .outbound()
          .sendObject(Unpooled.wrappedBuffer(frame))
          .then()
          .thenMany(Flux.empty());
    }
  }

  /** Assembles a state from its parts, which arrive in order. Not thread-safe. */
  private static final class StateAssembler {

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private Optional<PeerMessage.StateReply> lastReply = Optional.empty();

    void add(PeerMessage.StateReply reply) {
      int expected = lastReply.map(PeerMessage.StateReply::part).orElse(-1) + 1;
      boolean isInOrder = reply.part() == expected || reply.parts() == 0;
      if (!isInOrder || bytes.size() + reply.bytes().length > PeerState.MAX_BYTES) {
        throw new PeerException(
            new PeerError.Malformed(
                "state part "
                    + reply.part()
                    + " is out of order or exceeds the size limit; expected part "
                    + expected));
      }
      bytes.writeBytes(reply.bytes());
      lastReply = Optional.of(reply);
    }

    Optional<PeerState> state() {
      if (lastReply.isEmpty() || lastReply.get().part() + 1 < lastReply.get().parts()) {
        throw new PeerException(
            new PeerError.Unreachable(
                "connection closed before the last part of the state arrived"));
      }
      PeerMessage.StateReply reply = lastReply.get();
      return reply.parts() == 0
          ? Optional.empty()
          : Optional.of(
              new PeerState(
                  reply.stateSchema(), reply.through(), reply.digest(), bytes.toByteArray()));
    }
  }
}
