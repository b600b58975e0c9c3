package org.dragonflyhill.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultHttpContent;
import java.time.Instant;
import org.dragonflyhill.core.relay.ByteBudget;
import org.dragonflyhill.core.relay.RelayMemory;

/** Writes bodies of responses to a caller and counts the bytes that it has not taken yet. */
final class UntakenBytes {

  private final Channel channel;
  private final ByteBudget.Share share;
  private final Runnable onAllTaken;
  private long seen;
  private Instant progressAt;

  /**
   * Creates a counter of nothing.
   *
   * @param channel connection of the caller
   * @param memory budget in which the bytes count
   * @param now present time
   * @param onAllTaken called when the caller has taken all bytes
   */
  UntakenBytes(Channel channel, RelayMemory memory, Instant now, Runnable onAllTaken) {
    this.channel = channel;
    this.onAllTaken = onAllTaken;
    share = memory.open();
    progressAt = now;
  }

  /** Writes bytes and releases them. */
  void write(ByteBuf bytes) {
    int count = bytes.readableBytes();
    // A slice of what was read keeps the whole buffer of the read, which is larger.
    ByteBuf held = share.bytes() > 0 ? copy(bytes) : bytes;
    share.add(count);
    channel.write(new DefaultHttpContent(held)).addListener(done -> onTaken(count));
  }

  private void onTaken(int bytes) {
    share.remove(bytes);
    if (share.bytes() == 0) {
      onAllTaken.run();
    }
  }

  private ByteBuf copy(ByteBuf bytes) {
    try {
      return channel.alloc().ioBuffer(bytes.readableBytes()).writeBytes(bytes);
    } finally {
      bytes.release();
    }
  }

  long count() {
    return share.bytes();
  }

  /** Returns when the caller last took bytes, as far as earlier calls have seen it. */
  Instant progressAt() {
    return progressAt;
  }

  /** Notes whether the caller has taken bytes since the last call. */
  void observe(Instant now) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    long untaken = share.bytes() - (buffer == null ? 0 : buffer.currentProgress());
    if (untaken < seen || untaken == 0) {
      progressAt = now;
    }
    seen = untaken;
  }
}
