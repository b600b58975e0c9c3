package org.dragonflyhill.peer;

import io.netty.buffer.Unpooled;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.NettyInbound;
import reactor.netty.NettyOutbound;
import reactor.netty.tcp.TcpServer;

/**
 * Accepts connections from other nodes and replies to their requests.
 *
 * <p>To protect the node from faulty or hostile clients, a connection has a maximum lifetime,
 * frames have a maximum length, and requests get a reply only after the client has authenticated
 * itself. Connections that exceed the maximum number are closed at once.
 *
 * <pre>{@code
 * PeerServer server = new PeerServer("127.0.0.1", 0, "node-a", secret, handler, traffic);
 * }</pre>
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class PeerServer implements AutoCloseable {

  /** Maximum number of connections that are open at the same time. */
  static final int MAX_CONNECTIONS = 128;

  private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration CONNECTION_LIFETIME = Duration.ofSeconds(30);

  private final String node;
  private final PeerSecret secret;
  private final PeerHandler handler;
  private final PeerTraffic traffic;
  private final AtomicInteger openConnections = new AtomicInteger();
  private final DisposableServer server;

  /**
   * Creates a server and starts to listen.
   *
   * @param host IP address to listen on
   * @param port port to listen on, 0 for any free port
   * @param node name of this node
   * @param secret the secret that all nodes share
   * @param handler handles the requests of authenticated peers
   * @param traffic counts bytes and refused connections
   */
  public PeerServer(
      String host,
      int port,
      String node,
      PeerSecret secret,
      PeerHandler handler,
      PeerTraffic traffic) {
    this.node = node;
    this.secret = secret;
    this.handler = handler;
    this.traffic = traffic;
    server =
        TcpServer.create()
            .host(host)
            .port(port)
            .doOnConnection(connection -> connection.addHandlerLast(PeerCodec.frameDecoder()))
            .handle(this::serve)
            .bindNow();
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return server.port();
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return openConnections.get();
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private Publisher<Void> serve(NettyInbound in, NettyOutbound out) {
    if (openConnections.incrementAndGet() > MAX_CONNECTIONS) {
      openConnections.decrementAndGet();
      traffic.countRefusedConnection();
      return Mono.empty();
    }
    Session session = new Session();
    Flux<PeerMessage> replies =
        in.receive()
            .asByteArray()
            .concatMap(frame -> session.handleFrame(traffic.countReceived(frame)))
            .takeUntilOther(session.handshakeTimeout())
            .takeUntilOther(Mono.delay(CONNECTION_LIFETIME));
    Flux<byte[]> frames =
        Flux.concat(Mono.just(session.challenge), replies)
            .map(message -> traffic.countSent(PeerCodec.encode(message)));
    return out.sendObject(frames.map(Unpooled::wrappedBuffer), buffer -> true)
        .then()
        .onErrorResume(error -> Mono.fromRunnable(traffic::countRefusedConnection))
        .doFinally(signal -> openConnections.decrementAndGet());
  }

  /** A connection from a peer; it handles one frame at a time. */
  private final class Session {

    private final PeerMessage.Challenge challenge =
        new PeerMessage.Challenge(PeerMessage.SCHEMA, node, secret.nonce());
    private volatile boolean isAuthenticated;

    Mono<Long> handshakeTimeout() {
      return Mono.delay(HANDSHAKE_TIMEOUT).filter(tick -> !isAuthenticated);
    }

    Flux<PeerMessage> handleFrame(byte[] frame) {
      var read = PeerCodec.decode(frame);
      if (read.isLeft()) {
        return malformed(read.getLeft());
      }
      Optional<PeerMessage> message = read.get();
      if (!isAuthenticated) {
        return message
            .filter(PeerMessage.Proof.class::isInstance)
            .map(PeerMessage.Proof.class::cast)
            .map(this::authenticate)
            .orElseGet(() -> malformed("received another message before the proof"));
      }
      return message.map(this::reply).orElseGet(Flux::empty);
    }

    private Flux<PeerMessage> authenticate(PeerMessage.Proof proof) {
      byte[] expected =
          secret.mac(PeerSecret.Side.CONNECTING, challenge, proof.node(), proof.nonce());
      if (!PeerSecret.isValidNonce(proof.nonce()) || !PeerSecret.isSameMac(expected, proof.mac())) {
        return Flux.error(
            new PeerException(new PeerError.NotAuthenticated("invalid nonce or MAC in the proof")));
      }
      isAuthenticated = true;
      byte[] mac = secret.mac(PeerSecret.Side.LISTENING, challenge, proof.node(), proof.nonce());
      return Flux.just(new PeerMessage.Confirmation(PeerMessage.SCHEMA, mac));
    }

    private Flux<PeerMessage> reply(PeerMessage message) {
      return switch (message) {
        case PeerMessage.Heartbeat heartbeat -> Flux.just(handler.handleHeartbeat(heartbeat));
        case PeerMessage.StateRequest request ->
            handler
                .stateAheadOf(request.aheadOf())
                .<Flux<PeerMessage>>map(state -> Flux.fromIterable(state.parts()))
                .orElseGet(() -> Flux.just(PeerState.notAheadReply()));
        case PeerMessage.OutcomeRequest request ->
            Flux.just(
                new PeerMessage.OutcomeReply(
                    PeerMessage.SCHEMA,
                    handler.outcome(request.organisation(), request.idempotencyKey())));
        case PeerMessage.Challenge ignored -> malformed("unexpected challenge");
        case PeerMessage.Proof ignored -> malformed("unexpected second proof");
        case PeerMessage.Confirmation ignored -> malformed("unexpected confirmation");
        case PeerMessage.StateReply ignored -> malformed("state reply without a request");
        case PeerMessage.OutcomeReply ignored -> malformed("outcome reply without a request");
      };
    }

    private static Flux<PeerMessage> malformed(String detail) {
      return Flux.error(new PeerException(new PeerError.Malformed(detail)));
    }
  }
}
