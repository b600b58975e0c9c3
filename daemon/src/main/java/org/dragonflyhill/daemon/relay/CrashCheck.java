package org.dragonflyhill.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.relay.CrashSuspects;
import org.dragonflyhill.core.relay.RequestFingerprint;

/** Tells whether runners crash under a request, or under a part of its prompt. */
final class CrashCheck {

  private final CrashSuspects suspects;
  private final String caller;
  private final HttpRequest request;
  private final ByteBuf body;
  private final List<String> sharedPartKeys;
  private String fingerprint = "";

  /**
   * Creates a check of one request.
   *
   * @param suspects requests and parts under which runners crashed
   * @param caller identifies the organisation or the key of the caller
   * @param request head of the request
   * @param body body of the request, which must not be released before the last call
   * @param sharedPartKeys keys of the shared parts of its prompt
   */
  CrashCheck(
      CrashSuspects suspects,
      String caller,
      HttpRequest request,
      ByteBuf body,
      List<String> sharedPartKeys) {
    this.suspects = suspects;
    this.caller = caller;
    this.request = request;
    this.body = body;
    this.sharedPartKeys = sharedPartKeys;
  }

  List<String> sharedPartKeys() {
    return sharedPartKeys;
  }

  /** Returns what this request has in common with those that are alike. */
  String fingerprint() {
    if (fingerprint.isEmpty()) {
      fingerprint =
          RequestFingerprint.of(
              caller,
              request.method().name(),
              request.headers().get(HttpHeaderNames.HOST),
              request.uri(),
              body.nioBuffer());
    }
    return fingerprint;
  }

  /** Returns the key of this request among all suspects. */
  String requestKey() {
    return CrashSuspects.requestKey(fingerprint());
  }

  /** Returns the key of this request or of a part of its prompt if runners crash under it. */
  Optional<String> cause(Instant now) {
    if (suspects.isEmpty()) {
      return Optional.empty();
    }
    List<String> keys = new ArrayList<>(List.of(requestKey()));
    keys.addAll(sharedPartKeys);
    return suspects.blockedSuspect(keys, now);
  }

  /** Returns whether a runner has crashed under a request like this. */
  boolean isSuspect() {
    return !suspects.isEmpty() && suspects.isSuspect(requestKey());
  }
}
