package org.dragonflyhill.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import org.dragonflyhill.core.relay.ByteBudget;
import org.dragonflyhill.core.relay.RelayMemory;

/**
 * Collects the body of a request. The bytes are copied into blocks, since slices of what was read
 * would keep the whole buffers of the reads, which are up to 64 KiB for a single byte.
 */
final class BodyBuffer {

  private static final int MIN_BLOCK_BYTES = 1_024;
  private static final int MAX_BLOCK_BYTES = 64 * 1_024;

  private final ByteBufAllocator allocator;
  private final RelayMemory memory;
  private final ByteBudget.Share share;
  private Optional<CompositeByteBuf> body = Optional.empty();
  private long reserved;

  BodyBuffer(ByteBufAllocator allocator, RelayMemory memory) {
    this.allocator = allocator;
    this.memory = memory;
    share = memory.open();
  }

  /** Returns the share of memory that the body counts in. */
  ByteBudget.Share share() {
    return share;
  }

  /** Sets the number of bytes for which the share has been increased in advance. */
  void setReserved(long bytes) {
    reserved = bytes;
  }

  int length() {
    return body.map(CompositeByteBuf::readableBytes).orElse(0);
  }

  /** Appends bytes; returns false if they were not reserved and there is no room for them. */
  boolean append(ByteBuf bytes) {
    while (bytes.isReadable()) {
      CompositeByteBuf target = body.orElseGet(this::begin);
      if (target.writableBytes() == 0 && !addBlock(target, bytes.readableBytes())) {
        return false;
      }
      target.writeBytes(bytes, Math.min(bytes.readableBytes(), target.writableBytes()));
    }
    return true;
  }

  private CompositeByteBuf begin() {
    CompositeByteBuf begun = allocator.compositeBuffer(Integer.MAX_VALUE);
    body = Optional.of(begun);
    return begun;
  }

  private boolean addBlock(CompositeByteBuf target, int wanted) {
    long left = reserved - target.capacity();
    int size;
    if (left > 0) {
      size = (int) Math.min(left, MAX_BLOCK_BYTES);
    } else {
      // The length is unknown: the blocks grow with the body, so that at most half is unused.
      size = Math.max(Math.max(MIN_BLOCK_BYTES, wanted), Math.min(length(), MAX_BLOCK_BYTES));
      if (!memory.hasRoom(target.capacity() + size, size)) {
        return false;
      }
      share.add(size);
    }
    target.addComponent(false, allocator.ioBuffer(size, size).writerIndex(size));
    return true;
  }

  /** Returns the body, which the caller of this method releases, and begins another one. */
  ByteBuf take() {
    ByteBuf taken = body.isPresent() ? body.get() : Unpooled.EMPTY_BUFFER;
    body = Optional.empty();
    reserved = 0;
    return taken;
  }

  /** Drops what was received and frees the share. */
  void clear() {
    body.ifPresent(CompositeByteBuf::release);
    body = Optional.empty();
    reserved = 0;
    share.release();
  }
}
