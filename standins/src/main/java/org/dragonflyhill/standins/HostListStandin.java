package org.dragonflyhill.standins;

import java.util.List;
import org.dragonflyhill.ports.HttpHostListClient;
import reactor.core.publisher.Mono;

/**
 * Stand-in for the host list service: {@code GET /hosts} returns the host list and {@code PUT
 * /hosts} replaces it.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class HostListStandin implements StandinServer.Handler {

  private volatile HttpHostListClient.HostListResponse hostList =
      new HttpHostListClient.HostListResponse(List.of());

  @Override
  public Mono<StandinReply> handle(StandinRequest request) {
    if (request.method().equals("PUT")) {
      hostList = request.parseBody(HttpHostListClient.HostListResponse.class);
    }
    return Mono.just(StandinReply.json(hostList));
  }
}
