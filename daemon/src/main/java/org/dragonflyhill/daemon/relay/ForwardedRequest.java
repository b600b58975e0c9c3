package org.dragonflyhill.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/**
 * A request that a peer serves for this node. What the peer answers, also a refusal of its own, is
 * relayed unchanged.
 */
final class ForwardedRequest implements RunnerConnection.ResponseListener {

  private final PeerForwarder forwarder;
  private final PeerForwarder.Target target;
  private final String id;
  private final Owner owner;
  private Optional<RunnerConnection> connection = Optional.empty();
  private boolean isEnded;

  ForwardedRequest(PeerForwarder forwarder, PeerForwarder.Target target, String id, Owner owner) {
    this.forwarder = forwarder;
    this.target = target;
    this.id = id;
    this.owner = owner;
  }

  /** Connects to the peer; the owner then provides the request. */
  void start() {
    forwarder.targets().recordStarted(target.node());
    forwarder
        .connections()
        .acquire(
            target.endpoint(), id, this::onConnected, error -> onNotConnected(error.toString()));
  }

  String peer() {
    return target.node();
  }

  private void onConnected(RunnerConnection opened) {
    if (isEnded || !owner.maySend()) {
      forwarder.connections().release(opened);
      return;
    }
    connection = Optional.of(opened);
    try {
      opened.send(owner.forwardedHead(), owner.forwardedBody(), id, this);
    } catch (RuntimeException | Error e) {
      opened.cancel();
      onFailure("error in this node: " + e);
    }
  }

  private void onNotConnected(String reason) {
    if (end()) {
      owner.onPeerNotReached(this, reason);
    }
  }

  /** Returns whether the peer may have received the request. */
  boolean isSent() {
    return connection.isPresent();
  }

  boolean isReadingPaused() {
    return connection.filter(RunnerConnection::isReadingPaused).isPresent();
  }

  void pauseReading(boolean isPaused) {
    connection.ifPresent(used -> used.pauseReading(isPaused));
  }

  /** Gives the request up, which makes the peer cancel it at its runner. */
  void cancel() {
    if (end()) {
      connection.ifPresent(RunnerConnection::cancel);
    }
  }

  /** Returns false if the request had ended before. */
  private boolean end() {
    if (isEnded) {
      return false;
    }
    isEnded = true;
    forwarder.targets().recordEnded(target.node());
    return true;
  }

  @Override
  public void onActivity() {
    // The peer watches its runner for silence.
  }

  @Override
  public void onHeaders(HttpResponse response, HeaderCodec.ResponseHeaders headers) {
    if (!isEnded) {
      owner.onPeerHeaders(response);
    }
  }

  @Override
  public void onContent(ByteBuf bytes) {
    if (!isEnded) {
      owner.onPeerContent(bytes);
    }
  }

  @Override
  public void onReadComplete() {
    if (!isEnded) {
      owner.onPeerReadComplete();
    }
  }

  @Override
  public void onComplete(RunnerConnection.BodyFraming framing, boolean isRequestWritten) {
    if (end()) {
      owner.onPeerComplete();
    }
  }

  @Override
  public void onFailure(String reason) {
    if (end()) {
      owner.onPeerFailed(this, reason);
    }
  }

  /** The request that is forwarded, and the caller's end of it. */
  interface Owner {

    /**
     * Returns whether the request may be sent now; false if its deadline has passed, which ends it,
     * or if its caller has closed the connection.
     */
    boolean maySend();

    /** Returns the head to send to the peer. */
    DefaultHttpRequest forwardedHead();

    /** Returns the body to send to the peer, which is released once written. */
    ByteBuf forwardedBody();

    /** Called if the peer could not be connected to, so that nothing was sent. */
    void onPeerNotReached(ForwardedRequest forwarded, String reason);

    /** Called with the head of the peer's answer. */
    void onPeerHeaders(HttpResponse response);

    /** Called for each chunk of the body. The buffer is only valid during the call. */
    void onPeerContent(ByteBuf bytes);

    /** Called when all data that was read at once has been delivered. */
    void onPeerReadComplete();

    /** Called when the answer is complete. */
    void onPeerComplete();

    /** Called if the answer broke off or did not come; the request may have run. */
    void onPeerFailed(ForwardedRequest forwarded, String reason);
  }
}
