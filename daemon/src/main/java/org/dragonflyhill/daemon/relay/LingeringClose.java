package org.dragonflyhill.daemon.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection after a response to a request whose body was not read. If it were closed at
 * once, bytes that the caller still sends would be answered with a reset, which makes the caller
 * lose the response. The bytes are therefore read and dropped until the caller closes.
 */
final class LingeringClose {

  /** Longest wait for the caller to close. */
  private static final Duration MAX_WAIT = Duration.ofSeconds(3);

  private LingeringClose() {}

  /** Ends the output of a connection after what was written, and closes it later. */
  static void start(Channel channel) {
    channel.config().setAutoRead(true);
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            done -> {
              if (channel instanceof SocketChannel socket) {
                socket.shutdownOutput();
              }
              channel
                  .eventLoop()
                  .schedule(() -> channel.close(), MAX_WAIT.toMillis(), TimeUnit.MILLISECONDS);
            });
  }
}
