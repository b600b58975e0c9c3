package org.dragonflyhill.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.dragonflyhill.core.relay.Admission;
import org.dragonflyhill.core.relay.Arrival;
import org.dragonflyhill.core.relay.AttemptLimit;
import org.dragonflyhill.core.relay.CrashSuspects;
import org.dragonflyhill.core.relay.EventStream;
import org.dragonflyhill.core.relay.HedgeDenial;
import org.dragonflyhill.core.relay.HedgePolicy;
import org.dragonflyhill.core.relay.Organisation;
import org.dragonflyhill.core.relay.Prompt;
import org.dragonflyhill.core.relay.RateLimitForecast;
import org.dragonflyhill.core.relay.RelayConfiguration;
import org.dragonflyhill.core.relay.Route;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.RunnerSelector;
import org.dragonflyhill.core.relay.Service;
import org.dragonflyhill.core.relay.StreamBinding;
import org.dragonflyhill.core.relay.StreamContinuation;
import org.dragonflyhill.core.relay.StreamOrigin;
import org.dragonflyhill.core.relay.StreamOrigins;

/**
 * A caller's request in progress. Chooses a runner, forwards the request to it and relays the
 * response. After a failure it retries on another runner if the route and the retry budget allow.
 */
final class RelayedRequest implements RequestQueue.Entry, ForwardedRequest.Owner {

  private static final Duration NO_CONFIGURATION_RETRY_AFTER = Duration.ofMillis(500);
  private static final Duration NO_RUNNER_RETRY_AFTER = Duration.ofMillis(400);
  private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(50);
  private static final Duration RUNNER_FAILURE_RETRY_AFTER = Duration.ofMillis(150);

  /**
   * Divisor of the caller's remaining time that gives the longest Retry-After. According to the
   * platform's documentation callers obey a Retry-After of up to a third of their remaining time.
   */
  private static final int RETRY_AFTER_DIVISOR = 4;

  /** Number of failed connections after which the request is refused. */
  private static final int MAX_UNREACHABLE_RUNNERS = 3;

  /** Number of peers that may be asked to serve a request. */
  private static final int MAX_PEERS = 2;

  /** Age of an answer up to which its prompt may be the cause if its runner crashes. */
  private static final Duration SUSPECT_ANSWER_AGE = Duration.ofMillis(500);

  /** Age of an answer from which its prompt is not the cause of a later crash. */
  private static final Duration SOUND_ANSWER_AGE = Duration.ofSeconds(1);

  /** Statuses that promise, by the platform specification, that the request has not run. */
  private static final Set<Integer> NOT_RUN_STATUSES =
      Set.of(
          HttpResponseStatus.REQUEST_TIMEOUT.code(),
          HttpResponseStatus.MISDIRECTED_REQUEST.code(),
          HttpResponseStatus.TOO_MANY_REQUESTS.code(),
          HttpResponseStatus.SERVICE_UNAVAILABLE.code());

  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

  private final RelayServer server;
  private final RelayState state;
  private final CallerConnection caller;
  private final HttpRequest request;
  private final ByteBuf body;
  private final Arrival arrival;
  private final RequestTimes times;
  private final RequestLog events;
  private final Set<String> triedRunners = new HashSet<>();
  private final EventStream eventStream;
  private final StreamBinding streamBinding = new StreamBinding();

  /** Id of the caller's attempt that brought or will bring the first event of the stream. */
  private String firstAttempt = "";

  private HeaderCodec.RequestHeaders requestHeaders;
  private RelayConfiguration configuration;
  private Route route;
  private Service.Pool pool;
  private Optional<Organisation> organisation = Optional.empty();
  private CrashCheck crashCheck;
  private Instant callerDeadline = Instant.MAX;
  private Instant deadline = Instant.MAX;
  private final AttemptLimit attempts = new AttemptLimit();
  private int unreachableRunners;

  /** Whether a retry was taken from the budget and nothing has been sent for it yet. */
  private boolean hasUnusedRetry;

  private Optional<Attempt> currentAttempt = Optional.empty();

  /** The request as served by a peer, while this node cannot reach any runner. */
  private Optional<ForwardedRequest> forwardedRequest = Optional.empty();

  private final Set<String> triedPeers = new HashSet<>();
  private boolean isCounted;

  /** An attempt whose runner fell silent or is late, kept until the current attempt replaces it. */
  private Optional<Attempt> silentAttempt = Optional.empty();

  /** The second copy that may be sent of this request, empty if none may. */
  private Optional<RequestHedge> hedge = Optional.empty();

  private boolean mayHaveRun;
  private boolean isQueued;
  private Instant waitUntil = Instant.MAX;
  private boolean isResponseStarted;
  private boolean isEventStream;

  /** Whether the origin of the stream was recorded when this node passed its first event. */
  private boolean isStreamTold;

  private boolean isFinished;

  RelayedRequest(
      RelayServer server,
      CallerConnection caller,
      HttpRequest request,
      ByteBuf body,
      Arrival arrival) {
    this.server = server;
    this.state = server.state();
    this.caller = caller;
    this.request = request;
    this.body = body;
    this.arrival = arrival;
    times = new RequestTimes(arrival, state.now());
    events = new RequestLog(state, this::id, times);
    eventStream = new EventStream(server.memory().openEvent());
  }

  /** Validates the request against the configuration and dispatches it to a runner. */
  void start() {
    if (isFinished) {
      return;
    }
    server.requestStarted(this);
    runOrFail(this::validateAndDispatch);
  }

  /** Runs a step of this request. If it throws, the caller is answered now, not at the deadline. */
  private void runOrFail(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      events.stepFailed(e);
      if (isResponseStarted) {
        abortResponse("internal_error");
      } else {
        refuse(
            HttpResponseStatus.INTERNAL_SERVER_ERROR,
            "internal_error",
            "the node failed to handle the request",
            Optional.empty());
      }
    }
  }

  private void validateAndDispatch() {
    state.metrics().count("relay.requests");
    if (request.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)) {
      caller.closeAfterResponse();
    }
    Either<String, HeaderCodec.RequestHeaders> parsed = server.headerCodec().parseRequest(request);
    if (parsed.isLeft()) {
      refuse(HttpResponseStatus.BAD_REQUEST, "malformed", parsed.getLeft(), Optional.empty());
      return;
    }
    requestHeaders = parsed.get();
    callerDeadline = arrival.notBefore().plus(requestHeaders.timeLeft().orElse(DEFAULT_TIMEOUT));
    if (server.isRefusingRequests()) {
      refuseUnavailable("stopping", "the node is stopping", STOPPING_RETRY_AFTER);
      return;
    }
    Optional<RelayConfiguration> currentConfiguration = state.configuration();
    if (currentConfiguration.isEmpty()) {
      refuseUnavailable("no_configuration", "no configuration yet", NO_CONFIGURATION_RETRY_AFTER);
      return;
    }
    configuration = currentConfiguration.get();
    String host = request.headers().get(HttpHeaderNames.HOST).replaceFirst(":[0-9]*$", "");
    Optional<Route> found =
        configuration.route(host.toLowerCase(Locale.ROOT), request.uri().split("\\?", 2)[0]);
    if (found.isEmpty()) {
      refuse(HttpResponseStatus.NOT_FOUND, "no_route", "no such route", Optional.empty());
      return;
    }
    route = found.get();
    if (!isAuthorised()) {
      refuse(HttpResponseStatus.UNAUTHORIZED, "unknown_key", "unknown key", Optional.empty());
      return;
    }
    String callerKey = requestHeaders.apiKey().filter(key -> organisation.isEmpty()).orElse("");
    crashCheck =
        new CrashCheck(
            state.crashSuspects(),
            organisationName() + '\n' + callerKey,
            request,
            body,
            requestHeaders.prompt().map(Prompt::sharedPartKeys).orElse(List.of()));
    Instant routeDeadline = arrival.notBefore().plus(route.timeout());
    deadline = callerDeadline.isBefore(routeDeadline) ? callerDeadline : routeDeadline;
    if (!server.mayFinish(route, deadline)) {
      refuseUnavailable(
          "stopping", "the node may exit before the request ends", STOPPING_RETRY_AFTER);
      return;
    }
    if (route.kind() == Route.Kind.STREAM && route.isResumable()) {
      startStream();
    } else {
      startAt(route.serviceForRequest(id()));
    }
  }

  /** Starts a stream, or goes on with one that its caller takes up again. */
  private void startStream() {
    Either<String, Optional<String>> resumed = requestHeaders.resumedAttempt();
    if (resumed.isLeft()) {
      refuse(HttpResponseStatus.BAD_REQUEST, "malformed", resumed.getLeft(), Optional.empty());
    } else if (resumed.get().isPresent()) {
      firstAttempt = resumed.get().get();
      state.streamOrigins().find(firstAttempt, known -> runOrFail(() -> continueStream(known)));
    } else {
      firstAttempt = id();
      continueStream(Optional.empty());
    }
  }

  /** Goes on with the stream at the software version that began it, if any has. */
  private void continueStream(Optional<StreamOrigins.Known> known) {
    if (isFinished) {
      return;
    }
    String splitService = route.serviceForRequest(firstAttempt);
    StreamContinuation continuation =
        StreamContinuation.decide(
            requestHeaders.lastEventId().isPresent(),
            known.map(StreamOrigins.Known::origin),
            state
                .soleSoftwareVersion(splitService, route.maxStreamAge())
                .map(version -> new StreamOrigin(splitService, version, organisationName())),
            organisationName(),
            route.shares().stream().map(Route.Share::service).toList());
    switch (continuation) {
      case StreamContinuation.Anew anew -> {
        firstAttempt = id();
        startAt(route.serviceForRequest(id()));
      }
      case StreamContinuation.GoOn goOn -> {
        streamBinding.bind(Optional.of(goOn.origin()));
        events.streamTakenUp(firstAttempt, goOn.origin(), known);
        startAt(goOn.origin().service());
      }
      case StreamContinuation.Refused refused ->
          refuseUnavailable(
              "stream_not_resumed",
              refused.reason() + ", begun by " + (firstAttempt.equals(id()) ? "?" : firstAttempt),
              NO_RUNNER_RETRY_AFTER);
    }
  }

  private String organisationName() {
    return organisation.map(Organisation::name).orElse("");
  }

  private void startAt(String service) {
    Optional<Service.Pool> foundPool = configuration.pool(service);
    if (foundPool.isEmpty()) {
      refuseUnavailable("no_service", "unknown service " + service, NO_RUNNER_RETRY_AFTER);
      return;
    }
    pool = foundPool.get();
    boolean isTakenUp = streamBinding.isBound() || requestHeaders.lastEventId().isPresent();
    if (route.isRepeatable() && !caller.isPeer() && !isTakenUp) {
      hedge = state.hedgePolicy().map(this::hedgeUnder);
    }
    dispatch();
  }

  private RequestHedge hedgeUnder(HedgePolicy policy) {
    return new RequestHedge(server, policy, route, pool.name(), id(), requestHeaders.prompt());
  }

  private boolean isAuthorised() {
    if (!configuration.hasOrganisations()) {
      return true;
    }
    if (requestHeaders.apiKey().isEmpty()) {
      return route.isAnonymousAllowed();
    }
    organisation = configuration.organisation(requestHeaders.apiKey().get());
    return organisation.isPresent();
  }

  private String id() {
    return requestHeaders == null ? "" : requestHeaders.id().orElse("");
  }

  private void dispatch() {
    if (isFinished) {
      return;
    }
    Instant now = state.now();
    Optional<String> crashCause = crashCheck.cause(now);
    if (crashCause.isPresent()) {
      failCrashingRequest(crashCause.get());
      return;
    }
    if (forwardToPeer()) {
      return;
    }
    countRequest(now);
    List<Runner> candidates = untriedRunners();
    Optional<Attempt> next = chooseRunner(candidates, now);
    if (next.isEmpty()) {
      if (!candidates.isEmpty() || hasOutlivedSoftware() || !waitForRateLimit(now)) {
        failWithoutRunner(!candidates.isEmpty());
      }
      return;
    }
    Attempt chosen = next.get();
    if (chosen.runner.rateLimit().perSecond().isPresent() && waitBehindOthers(now)) {
      return;
    }
    if (attempts.sent() == 0 && chosen.selection != null) {
      Optional<Duration> retryAfter =
          Admission.refusal(chosen.selection, route.targetLatency(), standing());
      if (retryAfter.isPresent()) {
        refuseUnavailable("overloaded", chosen.selection.explanation(), retryAfter.get());
        return;
      }
      if (!Admission.canBegin(chosen.selection, timeLeft(now))) {
        fail("deadline_too_close", chosen.selection.explanation(), NO_RUNNER_RETRY_AFTER);
        return;
      }
      if (!Admission.hasRoom(chosen.selection) && !isWaitOver(now)) {
        enqueue(chosen.selection.explanation(), now);
        return;
      }
    }
    isQueued = false;
    connect(chosen);
  }

  /** Counts the request once, at the node that sends it to a runner. */
  private void countRequest(Instant now) {
    if (!isCounted) {
      isCounted = true;
      state.retryBudget(pool.name()).recordRequest(now);
      state.hedgePolicy().ifPresent(policy -> policy.recordRequest(pool.name()));
    }
  }

  /**
   * Has a peer serve the request if this node cannot reach any runner; returns false if it can, or
   * if no peer can either.
   */
  private boolean forwardToPeer() {
    if (caller.isPeer() || isResponseStarted || !state.isOutOfReach(pool.name())) {
      return false;
    }
    Optional<PeerForwarder.Target> target =
        triedPeers.size() >= MAX_PEERS
            ? Optional.empty()
            : server.forwarder().choose(pool.name(), id(), triedPeers);
    if (target.isEmpty()) {
      return false;
    }
    triedPeers.add(target.get().node());
    isQueued = false;
    events.forwarded(pool.name(), target.get().node());
    var forwarded = new ForwardedRequest(server.forwarder(), target.get(), id(), this);
    forwardedRequest = Optional.of(forwarded);
    forwarded.start();
    return true;
  }

  @Override
  public DefaultHttpRequest forwardedHead() {
    DefaultHttpRequest head = HopByHopHeaders.copyRequest(request, body.readableBytes());
    server.headerCodec().setTimeLeft(head.headers(), timeLeft(state.now()));
    return head;
  }

  @Override
  public ByteBuf forwardedBody() {
    return body.retainedDuplicate();
  }

  @Override
  public void onPeerNotReached(ForwardedRequest forwarded, String reason) {
    forwardedRequest = Optional.empty();
    events.peerFailed(forwarded, reason);
    dispatch();
  }

  @Override
  public void onPeerHeaders(HttpResponse response) {
    if (mayHaveRun && NOT_RUN_STATUSES.contains(response.status().code())) {
      fail("peer_refused", "the peer refused the request", RUNNER_FAILURE_RETRY_AFTER);
      return;
    }
    writeHead(response, HttpUtil.isContentLengthSet(response));
  }

  @Override
  public void onPeerContent(ByteBuf bytes) {
    caller.writeContent(bytes.retain());
    if (!caller.isWritable()) {
      forwardedRequest.ifPresent(forwarded -> forwarded.pauseReading(true));
    }
  }

  @Override
  public void onPeerReadComplete() {
    caller.flush();
  }

  @Override
  public void onPeerComplete() {
    finish();
    caller.completeResponse();
  }

  /** A peer that fails may have had the request run. */
  @Override
  public void onPeerFailed(ForwardedRequest forwarded, String reason) {
    forwardedRequest = Optional.empty();
    mayHaveRun = true;
    events.peerFailed(forwarded, reason);
    if (isResponseStarted || !route.isRepeatable() || !retryOnAnotherRunner("peer_failed")) {
      fail("peer_failed", "the node that served the request failed", RUNNER_FAILURE_RETRY_AFTER);
    }
  }

  private void connect(Attempt chosen) {
    currentAttempt = Optional.of(chosen);
    triedRunners.add(chosen.runner.id());
    times.onConnecting(state.now());
    chosen.runner.recordDispatch(state.now());
    server
        .runnerConnections()
        .acquire(
            chosen.runner.info().endpoint(),
            id(),
            connection -> runOrFail(() -> sendOrClose(chosen, connection)),
            error -> runOrFail(() -> onConnectFailed(chosen, error)));
  }

  /** Fails the request with a status that does not tell the caller to try again. */
  private void failCrashingRequest(String cause) {
    boolean isRequest = CrashSuspects.isRequest(cause);
    String reason = isRequest ? "request_crashes_runners" : "prompt_crashes_runners";
    if (isResponseStarted) {
      abortResponse(reason);
      return;
    }
    refuse(
        HttpResponseStatus.INTERNAL_SERVER_ERROR,
        reason,
        isRequest
            ? "runners crash under requests like this, " + cause
            : "runners crash under part " + cause + " of the prompt",
        Optional.empty());
  }

  /** Queues the request if the rate limits of the runners will permit it soon. */
  private boolean waitForRateLimit(Instant now) {
    if (attempts.sent() > 0 || isWaitOver(now)) {
      return false;
    }
    Optional<RateLimitForecast> forecast = state.rateLimitForecast(pool.name());
    boolean mayWait =
        forecast
            .filter(known -> isQueued || known.mayWaitBehind(waitingAhead(), route.targetLatency()))
            .isPresent();
    if (mayWait) {
      enqueue(forecast.get().explanation(), now);
    }
    return mayWait;
  }

  /** Queues a new request if others that are as urgent wait already. */
  private boolean waitBehindOthers(Instant now) {
    if (attempts.sent() > 0 || isQueued || waitingAhead() == 0) {
      return false;
    }
    enqueue(waitingAhead() + " requests wait already", now);
    return true;
  }

  private int waitingAhead() {
    return server.queue().waitingAhead(pool.name(), rank());
  }

  private void failWithoutRunner(boolean hasCandidates) {
    Optional<Duration> backoffLeft = state.backoffLeft(pool.name());
    Optional<RateLimitForecast> forecast = state.rateLimitForecast(pool.name());
    if (hasOutlivedSoftware()) {
      fail(
          "software_gone",
          "no runner of software version " + streamBinding.describe() + " to go on with the stream",
          NO_RUNNER_RETRY_AFTER);
    } else if (hasCandidates) {
      fail("weights_replaced", "all runners left have replaced weights", NO_RUNNER_RETRY_AFTER);
    } else if (forecast.isPresent()) {
      double spread = ThreadLocalRandom.current().nextDouble();
      fail(
          "runners_rate_limited",
          forecast.get().explanation(),
          forecast.get().retryAfter(waitingAhead(), spread));
    } else if (backoffLeft.isPresent()) {
      fail("runners_busy", "all runners of " + pool.name() + " want a pause", backoffLeft.get());
    } else {
      fail("no_runner", "no runner of " + pool.name() + " is open", NO_RUNNER_RETRY_AFTER);
    }
  }

  /** Returns the runners that this request may be sent to now and has not been sent to yet. */
  private List<Runner> untriedRunners() {
    return state.permitted(pool.name()).stream()
        .filter(runner -> !triedRunners.contains(runner.id()))
        .filter(runner -> streamBinding.permits(state.softwareVersion(runner)))
        .toList();
  }

  /** Returns whether the stream is bound to a version that no runner which accepts requests has. */
  private boolean hasOutlivedSoftware() {
    return streamBinding.isBound()
        && state.runners().availableRunners(pool.name()).stream()
            .noneMatch(runner -> streamBinding.permits(state.softwareVersion(runner)));
  }

  /** Queues the request at this node; {@link RequestQueue} retries it until its wait is over. */
  private void enqueue(String explanation, Instant now) {
    if (waitUntil.equals(Instant.MAX)) {
      events.waits(route, rank(), explanation);
      waitUntil = now.plus(Admission.maxWait(route.targetLatency()));
    }
    server.queue().add(this);
    isQueued = true;
  }

  @Override
  public boolean isWaitOver(Instant now) {
    return !now.isBefore(waitUntil);
  }

  @Override
  public boolean tryDispatch(Instant now) {
    if (isQueued && !isFinished) {
      runOrFail(this::dispatch);
    }
    return isFinished || !isQueued;
  }

  private Optional<Attempt> chooseRunner(List<Runner> candidates, Instant now) {
    if (pool.engine().isEmpty() || requestHeaders.prompt().isEmpty()) {
      return state
          .runnerSelector()
          .selectForPlainRequest(candidates, id(), now)
          .map(runner -> new Attempt(runner, null));
    }
    Prompt prompt = requestHeaders.prompt().get();
    Service.Engine engine = pool.engine().get();
    List<Prompt.Part> shared = prompt.sharedParts();
    String affinity = shared.isEmpty() ? id() : shared.get(shared.size() - 1).id();
    // Most candidates have the same version.
    Map<Long, String> salts = new HashMap<>();
    var selectionRequest =
        new RunnerSelector.Request(
            prompt,
            version -> salts.computeIfAbsent(version, any -> salt(prompt.model(), version)),
            affinity,
            engine.bytesPerToken(),
            engine.memoryTokens(),
            rank());
    return state
        .runnerSelector()
        .selectForPrompt(selectionRequest, candidates, state.fetchSources(pool.name(), engine), now)
        .map(selection -> new Attempt(selection.runner(), selection));
  }

  @Override
  public boolean maySend() {
    if (!state.now().isBefore(deadline)) {
      onTimeout();
      return false;
    }
    return caller.isConnected();
  }

  /** Sends the request; if that fails, the connection must not carry another one. */
  private void sendOrClose(Attempt chosen, RunnerConnection connection) {
    boolean isDone = false;
    try {
      send(chosen, connection);
      isDone = true;
    } finally {
      if (!isDone) {
        connection.channel().close();
      }
    }
  }

  private void send(Attempt chosen, RunnerConnection connection) {
    if (isFinished || currentAttempt.filter(chosen::equals).isEmpty() || !maySend()) {
      server.runnerConnections().release(connection);
      return;
    }
    if (!streamBinding.permits(state.softwareVersion(chosen.runner))) {
      server.runnerConnections().release(connection);
      onConnectFailed(chosen, new IOException("the runner may have been replaced"));
      return;
    }
    final Instant now = state.now();
    if (!chosen.mayBeginOnWeights(now)) {
      // Opening the connection took long.
      server.runnerConnections().release(connection);
      currentAttempt = Optional.empty();
      if (!resumeSilentAttempt()) {
        dispatch();
      }
      return;
    }
    DefaultHttpRequest forwarded = HopByHopHeaders.copyRequest(request, body.readableBytes());
    HttpHeaders headers = forwarded.headers();
    server.headerCodec().removeReservedHeaders(headers, configuration.hasOrganisations());
    Optional<String> lastEventId = eventStream.lastId().or(requestHeaders::lastEventId);
    server
        .headerCodec()
        .addDispatchHeaders(
            headers,
            new HeaderCodec.DispatchInfo(
                chosen.runner.id(),
                timeLeft(now),
                organisation.map(Organisation::name),
                urgency(),
                chosen.cacheInstructions().or(this::saltOfUnknownPrompt),
                lastEventId));
    attempts.recordSent();
    hasUnusedRetry = false;
    times.onSent(now);
    events.sentLate(route, chosen, timeLeft(now));
    lastEventId.ifPresent(last -> events.streamResumed(firstAttempt, last, chosen.runner));
    chosen.onSent(connection, now);
    connection.send(forwarded, body.retainedDuplicate(), id(), chosen);
  }

  /**
   * Returns the salt by the newest configuration: one that isolates an organisation also binds the
   * later attempts of requests that began under the configuration before.
   */
  private String salt(String model, long version) {
    return state.configuration().orElse(configuration).cacheSalt().of(model, version, organisation);
  }

  /**
   * Returns the salt of a request to a model runner whose prompt this node cannot read; without one
   * the runner would share the request's parts with those of all organisations.
   */
  private Optional<HeaderCodec.CacheInstructions> saltOfUnknownPrompt() {
    return pool.engine()
        .map(engine -> salt("", Runner.UNKNOWN_WEIGHTS))
        .map(HeaderCodec.CacheInstructions::withSalt);
  }

  private Admission.Standing standing() {
    if (streamBinding.isBound()) {
      return Admission.Standing.BEGUN;
    }
    return route.isRetry(requestHeaders.timeLeft())
        ? Admission.Standing.RETRIED
        : Admission.Standing.NEW;
  }

  private Duration timeLeft(Instant now) {
    return Duration.between(now, callerDeadline);
  }

  private OptionalInt urgency() {
    return pool.engine().isEmpty() ? OptionalInt.empty() : OptionalInt.of(rank());
  }

  @Override
  public int rank() {
    return RelayConfiguration.rank(route, organisation);
  }

  @Override
  public String service() {
    return pool.name();
  }

  @Override
  public Optional<String> organisation() {
    return organisation.map(Organisation::name);
  }

  private void onConnectFailed(Attempt chosen, Throwable error) {
    if (isFinished || currentAttempt.filter(chosen::equals).isEmpty()) {
      return;
    }
    currentAttempt = Optional.empty();
    chosen.runner.eject(state.now());
    unreachableRunners++;
    logAttempt("runner_unreached", chosen, error.toString());
    if (resumeSilentAttempt()) {
      return;
    }
    if (forwardToPeer()) {
      return;
    }
    if (unreachableRunners >= MAX_UNREACHABLE_RUNNERS) {
      fail("runners_unreached", "no runner could be reached", NO_RUNNER_RETRY_AFTER);
      return;
    }
    dispatch();
  }

  private void logAttempt(String event, Attempt chosen, String detail) {
    events.attempt(event, route, chosen, attempts.sent(), configuration.version(), detail);
  }

  /**
   * Dispatches the request to another runner.
   *
   * @return false if the route, the retry budget or the deadline does not allow another attempt
   */
  private boolean retryOnAnotherRunner(String reason) {
    Instant now = state.now();
    Optional<String> obstacle = findRetryObstacle(now).or(() -> spendRetry(now));
    if (obstacle.isPresent()) {
      events.retryDenied(route, reason, obstacle.get());
      return false;
    }
    state.metrics().countRetry(reason);
    dispatch();
    return true;
  }

  /** Returns why another attempt is not possible, regardless of the retry budget. */
  private Optional<String> findRetryObstacle(Instant now) {
    if (!attempts.permitsAnother(route.maxAttempts(), isResponseStarted)) {
      return Optional.of("no attempt left");
    }
    if (!now.isBefore(deadline)) {
      return Optional.of("deadline exceeded");
    }
    Optional<String> crashCause = crashCheck.cause(now);
    if (crashCause.isPresent()) {
      return Optional.of("runners crash under " + crashCause.get());
    }
    return untriedRunners().isEmpty() ? Optional.of("no untried runner") : Optional.empty();
  }

  /** Takes a retry from the budget, or returns why that is not possible. */
  private Optional<String> spendRetry(Instant now) {
    hasUnusedRetry =
        hasUnusedRetry || state.retryBudget(pool.name()).tryAcquire(state.nodeCount(), now);
    return hasUnusedRetry ? Optional.empty() : Optional.of("retry budget exhausted");
  }

  /**
   * Fails the request: aborts a response that has started, and otherwise answers with an error that
   * tells whether the request may have run.
   */
  private void fail(String reason, String detail, Duration retryAfter) {
    if (isResponseStarted) {
      abortResponse(reason);
    } else if (mayHaveRun) {
      refuse(HttpResponseStatus.BAD_GATEWAY, reason, detail, Optional.empty());
    } else {
      refuseUnavailable(reason, detail, retryAfter);
    }
  }

  private void refuseUnavailable(String reason, String detail, Duration retryAfter) {
    Duration maxWait = Duration.between(state.now(), callerDeadline).dividedBy(RETRY_AFTER_DIVISOR);
    Duration wait = retryAfter.compareTo(maxWait) > 0 ? maxWait : retryAfter;
    refuse(
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        reason,
        detail,
        Optional.of(wait.isNegative() ? Duration.ZERO : wait));
  }

  private void refuse(
      HttpResponseStatus status, String reason, String detail, Optional<Duration> retryAfter) {
    if (isFinished) {
      return;
    }
    server.recordRefusal(reason, id(), detail + ", " + status.code());
    finish();
    caller.respond(status, detail, retryAfter, Optional.of(id()).filter(id -> !id.isEmpty()));
  }

  private void abortResponse(String reason) {
    events.answerBrokenOff(reason);
    finish();
    caller.abort();
  }

  private void finish() {
    if (isFinished) {
      return;
    }
    isFinished = true;
    currentAttempt.ifPresent(Attempt::cancel);
    currentAttempt = Optional.empty();
    cancelSilentAttempt();
    forwardedRequest.ifPresent(ForwardedRequest::cancel);
    eventStream.dropPartial();
    body.release();
    server.requestFinished(this);
  }

  /** Cancels the request after the caller closed its connection. */
  void onCallerDisconnected() {
    if (!isFinished) {
      currentAttempt.ifPresent(
          current -> events.callerGone(route, current, timeLeft(state.now()), server.maxUnread()));
      state.metrics().count("relay.callers_gone");
      finish();
    }
  }

  /** Returns whether reading the response is paused, since the caller takes it too slowly. */
  boolean isReadingPaused() {
    return currentAttempt
            .flatMap(current -> current.connection)
            .filter(RunnerConnection::isReadingPaused)
            .isPresent()
        || forwardedRequest.filter(ForwardedRequest::isReadingPaused).isPresent();
  }

  void onCallerWritabilityChanged(boolean isWritable) {
    currentAttempt.ifPresent(current -> current.pauseReading(!isWritable));
    forwardedRequest.ifPresent(forwarded -> forwarded.pauseReading(!isWritable));
  }

  /** Enforces the deadline, and retries on another runner if the present one stopped responding. */
  void checkTimeouts(Instant now) {
    if (isFinished) {
      return;
    }
    if (!now.isBefore(deadline)) {
      onTimeout();
      return;
    }
    runOrFail(() -> checkProgress(now));
  }

  private void checkProgress(Instant now) {
    currentAttempt.ifPresent(Attempt::checkSoundness);
    Optional<String> crashCause = isResponseStarted ? Optional.empty() : crashCheck.cause(now);
    if (crashCause.isPresent()) {
      failCrashingRequest(crashCause.get());
      return;
    }
    if (silentAttempt.filter(silent -> silent.hasOutlivedWeights(now)).isPresent()
        || currentAttempt.filter(current -> current.isHandoverOver(now)).isPresent()) {
      cancelSilentAttempt();
    }
    if (currentAttempt.filter(current -> current.hasOutlivedWeights(now)).isPresent()) {
      Attempt outdated = currentAttempt.get();
      logAttempt("weights_replaced", outdated, "not begun before its weights must not be used");
      replaceAttempt(outdated, "weights_replaced", "the weights of its runner were replaced");
      return;
    }
    if (mayStartAgain() && silentAttempt.isEmpty()) {
      currentAttempt.filter(current -> current.isSilent(now)).ifPresent(this::handOver);
    }
    if (hedge.isPresent() && silentAttempt.isEmpty() && triedPeers.isEmpty()) {
      currentAttempt
          .filter(current -> hedge.get().isDue(current, attempts.sent(), now))
          .ifPresent(current -> sendCopy(current, hedge.get(), now));
    }
  }

  /** Sends a second copy of a late request to another runner if the policy permits it. */
  private void sendCopy(Attempt late, RequestHedge copyOf, Instant now) {
    Optional<HedgeDenial> denial =
        crashCheck.isSuspect() || findRetryObstacle(now).isPresent()
            ? Optional.of(HedgeDenial.NOT_RETRIABLE)
            : Optional.empty();
    Optional<Attempt> copy =
        denial.isPresent()
            ? Optional.empty()
            : chooseRunner(copyOf.candidates(untriedRunners(), now), now);
    denial =
        denial
            .or(() -> copyOf.denial(late, copy, now))
            .or(() -> spendRetry(now).map(any -> HedgeDenial.RETRY_BUDGET));
    if (denial.isPresent()) {
      copyOf.onDenied(late, denial.get(), now);
      return;
    }
    copyOf.onSent(late, copy.get(), now);
    keepWhileAsking(late, copy.get());
  }

  /** Asks another runner while an attempt is kept that may have run. */
  private void keepWhileAsking(Attempt kept, Attempt next) {
    mayHaveRun = true;
    silentAttempt = Optional.of(kept);
    connect(next);
  }

  /** Returns whether an attempt is late and its second copy is in progress. */
  private boolean isHedged(Attempt attempt) {
    return silentAttempt.filter(attempt::equals).isPresent()
        && hedge.filter(known -> known.isFirst(attempt)).isPresent();
  }

  /**
   * Asks another runner to take over from a silent one. The silent attempt is kept until the other
   * runner has answered, since its runner may go on and the other one may not be able to.
   */
  private void handOver(Attempt silent) {
    if (!attempts.permitsAnother(route.maxAttempts(), isResponseStarted)) {
      return;
    }
    Instant now = state.now();
    boolean isReported = silent.isSilenceReported;
    if (!isReported) {
      silent.isSilenceReported = true;
      logAttempt("runner_silent", silent, "no data from the runner");
      silent.runner.ejectForSilence(now);
      server.runnerConnections().closeIdle(silent.runner.info().endpoint());
    }
    Optional<String> obstacle = findRetryObstacle(now);
    Optional<Attempt> next =
        obstacle.isPresent() ? Optional.empty() : chooseRunner(untriedRunners(), now);
    if (obstacle.isEmpty()) {
      obstacle = next.isEmpty() ? Optional.of("weights replaced") : spendRetry(now);
    }
    if (obstacle.isPresent()) {
      if (!isReported) {
        events.retryDenied(route, "runner_silent", obstacle.get());
      }
      return;
    }
    state.metrics().countRetry("runner_silent");
    keepWhileAsking(silent, next.get());
  }

  /**
   * Goes back to the silent attempt after the attempt that should have replaced it failed; returns
   * false if there is none.
   */
  private boolean resumeSilentAttempt() {
    if (silentAttempt.isEmpty()) {
      return false;
    }
    currentAttempt.ifPresent(Attempt::cancel);
    currentAttempt = silentAttempt;
    boolean isHedged = isHedged(currentAttempt.get());
    silentAttempt = Optional.empty();
    if (isHedged) {
      hedge.get().onLost(state.now());
    } else {
      logAttempt("silent_runner_kept", currentAttempt.get(), "not replaced by another runner");
    }
    return true;
  }

  private void cancelSilentAttempt() {
    if (silentAttempt.isPresent()) {
      silentAttempt.get().cancel();
      silentAttempt = Optional.empty();
      eventStream.dropPartial();
    }
  }

  /** Cancels an attempt that may have run and retries on another runner, or fails the request. */
  private void replaceAttempt(Attempt replaced, String reason, String detail) {
    replaced.cancel();
    currentAttempt = Optional.empty();
    mayHaveRun = true;
    if (resumeSilentAttempt()) {
      return;
    }
    if (!mayStartAgain() || !retryOnAnotherRunner(reason)) {
      fail(reason, detail, RUNNER_FAILURE_RETRY_AFTER);
    }
  }

  /** Returns whether another runner may be asked although this request may have run. */
  private boolean mayStartAgain() {
    return isResponseStarted ? isResumable() : route.isRepeatable();
  }

  private void writeHead(HttpResponse response, boolean isLengthKnown) {
    var forwarded = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status());
    forwarded.headers().add(response.headers());
    HopByHopHeaders.removeFrom(forwarded.headers());
    if (!isLengthKnown) {
      forwarded.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      HttpUtil.setTransferEncodingChunked(forwarded, true);
    }
    isResponseStarted = true;
    caller.writeHeaders(forwarded);
  }

  /** Returns whether a response that has started can be continued by another runner. */
  private boolean isResumable() {
    return isEventStream && route.isResumable();
  }

  /** Ends the request at once, with an answer that tells whether it may have run. */
  void endForShutdown() {
    mayHaveRun |= isSent();
    fail("stopped", "the node exits before the answer", STOPPING_RETRY_AFTER);
  }

  private boolean isSent() {
    return currentAttempt.filter(current -> current.connection.isPresent()).isPresent()
        || forwardedRequest.filter(ForwardedRequest::isSent).isPresent();
  }

  private void recordDuration() {
    Duration duration = Duration.between(arrival.readAt(), state.now());
    server.routeDurations().record(route, duration);
    state.metrics().timer("relay." + route.kind().name().toLowerCase(Locale.ROOT)).update(duration);
  }

  private void onTimeout() {
    currentAttempt.ifPresent(current -> logAttempt("timed_out", current, "deadline exceeded"));
    if (isSent()) {
      mayHaveRun = true;
      server.routeDurations().record(route, Duration.between(arrival.readAt(), state.now()));
    }
    if (isResponseStarted) {
      abortResponse("timed_out");
    } else if (mayHaveRun) {
      refuse(HttpResponseStatus.GATEWAY_TIMEOUT, "timed_out", "timed out", Optional.empty());
    } else {
      refuseUnavailable("timed_out_unsent", "timed out before it was sent", Duration.ZERO);
    }
  }

  /** An attempt to run this request on one runner, which relays the response to the caller. */
  private final class Attempt extends RunnerAttempt {

    private boolean isSuccess;
    private boolean isSoundRecorded;

    Attempt(Runner runner, RunnerSelector.Selection selection) {
      super(state, runner, selection, requestHeaders.prompt(), rank());
    }

    /** Records the answer as sound once it has gone on for long enough. */
    void checkSoundness() {
      if (isSuccess && !isSoundRecorded && answerAge().compareTo(SOUND_ANSWER_AGE) >= 0) {
        recordSoundAnswer();
      }
    }

    private void recordSoundAnswer() {
      isSoundRecorded = true;
      List<String> keys = new ArrayList<>(crashCheck.sharedPartKeys());
      if (crashCheck.isSuspect()) {
        keys.add(crashCheck.requestKey());
      }
      state.crashSuspects().recordSoundAnswer(keys, answeredAt);
    }

    @Override
    public void onActivity() {
      lastActivityAt = state.now();
      isSilenceReported = false;
      // A later retry must count in the window of the budget in which it is sent.
      hasUnusedRetry = false;
      runner.recordActivity(lastActivityAt);
      // A late attempt wins with a sound response only, since its copy is in progress.
      if (silentAttempt.filter(this::equals).isPresent() && !isHedged(this)) {
        resumeSilentAttempt();
      }
    }

    @Override
    public void onHeaders(HttpResponse response, HeaderCodec.ResponseHeaders responseHeaders) {
      Instant now = state.now();
      if (!hasResponse) {
        hasResponse = true;
        answeredAt = now;
        isSuccess = response.status().codeClass() == HttpStatusClass.SUCCESS;
        runner.answerStarted(rank(), prefillTokens(), now);
        if (selection != null && isSuccess) {
          state.recordTimeToFirstToken(selection, sentAt, now);
        }
      }
      int status = response.status().code();
      state.weights().onHead(this, status, responseHeaders, id());
      // With 421 another runner answers, at the address of the one that was expected.
      if (responseHeaders.isDraining() && status != HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
        state.markDraining(runner, "request " + id());
      }
      responseHeaders.retryAfter().ifPresent(time -> state.backOff(runner, time, id()));
      if (status != HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
        state.recordRateLimit(runner, responseHeaders.rateLimit(), sentAt, id());
      }
      if (responseHeaders.isNotRun() || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
        onNotRun(status, responseHeaders);
        return;
      }
      mayHaveRun = true;
      // Passed on, the status would promise that the request has not run, which nothing shows.
      boolean isUnprovenPromise = NOT_RUN_STATUSES.contains(status);
      if (status >= 500 || isUnprovenPromise) {
        runner.recordFailure(1, now);
        logAttempt("runner_failed", this, "status " + status);
        if (leaveToCopy() || resumeSilentAttempt()) {
          return;
        }
        if (route.isRepeatable() && !isResponseStarted && abandonIfRetried()) {
          return;
        }
      } else {
        runner.recordSuccess(now);
      }
      if (isResponseStarted && (status != 200 || !isEventStream(response))) {
        abandon("resume_refused");
        return;
      }
      if (isUnprovenPromise) {
        cancel();
        currentAttempt = Optional.empty();
        fail("runner_failed", "status " + status + " of the runner", RUNNER_FAILURE_RETRY_AFTER);
        return;
      }
      if (isHedged(this)) {
        resumeSilentAttempt();
      }
      hedge.ifPresent(known -> recordAnswer(known, now));
      cancelSilentAttempt();
      if (!isResponseStarted) {
        writeResponseHeaders(response);
      }
    }

    private void recordAnswer(RequestHedge known, Instant now) {
      if (isSuccess && !isResponseStarted) {
        known.recordFirstResponse(this, now);
      }
      known.onAnswered(this, now);
    }

    /** Ends a late attempt whose copy is in progress; returns false if this is not one. */
    private boolean leaveToCopy() {
      if (!isHedged(this)) {
        return false;
      }
      cancelSilentAttempt();
      return true;
    }

    /** Retries on another runner and cancels this attempt; returns false if that is not allowed. */
    private boolean abandonIfRetried() {
      if (!retryOnAnotherRunner("runner_failed")) {
        return false;
      }
      cancel();
      return true;
    }

    private void onNotRun(int status, HeaderCodec.ResponseHeaders responseHeaders) {
      Instant now = state.now();
      logAttempt("runner_refused", this, "status " + status);
      attempts.recordRejected();
      if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
        onMisdirected(responseHeaders);
      } else if (responseHeaders.retryAfter().isEmpty()) {
        runner.recordFailure(0.5, now);
      }
      abandon("refused");
    }

    /**
     * Updates the runner after it answered that the request is not for it: another runner has its
     * address now, or its weights are not the expected ones.
     */
    private void onMisdirected(HeaderCodec.ResponseHeaders responseHeaders) {
      boolean isOtherRunner =
          responseHeaders.runnerId().filter(id -> !id.equals(runner.id())).isPresent();
      if (isOtherRunner || selection == null) {
        state.markDraining(runner, "request " + id());
        return;
      }
      state.weights().onUnexpectedWeights(this, id());
      triedRunners.remove(runner.id());
    }

    private void abandon(String reason) {
      if (leaveToCopy()) {
        return;
      }
      cancel();
      currentAttempt = Optional.empty();
      if (resumeSilentAttempt()) {
        return;
      }
      if (!retryOnAnotherRunner(reason)) {
        fail(
            reason,
            "the runner refused the request",
            state.backoffLeft(pool.name()).orElse(RUNNER_FAILURE_RETRY_AFTER));
      }
    }

    /**
     * Returns whether the body of a response consists of events. A response of a stream route that
     * names no media type does if its length is unknown.
     */
    private boolean isEventStream(HttpResponse response) {
      if (route.kind() != Route.Kind.STREAM
          || response.status().codeClass() != HttpStatusClass.SUCCESS) {
        return false;
      }
      CharSequence mediaType = HttpUtil.getMimeType(response);
      return mediaType == null
          ? !HttpUtil.isContentLengthSet(response)
          : HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(mediaType);
    }

    private void writeResponseHeaders(HttpResponse response) {
      isEventStream = isEventStream(response);
      writeHead(response, !isResumable() && HttpUtil.isContentLengthSet(response));
    }

    @Override
    public void onContent(ByteBuf bytes) {
      if (isEnded || !isResponseStarted) {
        return;
      }
      hasContent = true;
      if (isResumable()) {
        byte[] completeEvents = eventStream.append(ByteBufUtil.getBytes(bytes));
        if (completeEvents.length > 0) {
          bindStream();
          caller.writeContent(Unpooled.wrappedBuffer(completeEvents));
        }
        Optional<String> lengthError = eventStream.lengthError();
        if (lengthError.isPresent()) {
          cancel();
          onBrokenOff(lengthError.get());
          return;
        }
      } else {
        if (isEventStream) {
          eventStream.track(ByteBufUtil.getBytes(bytes));
        }
        caller.writeContent(bytes.retain());
      }
      if (!caller.isWritable()) {
        pauseReading(true);
      }
    }

    /** Binds the stream to the software version of this runner before it passes the first event. */
    private void bindStream() {
      if (!streamBinding.isBound()) {
        streamBinding.bind(
            state
                .softwareVersion(runner)
                .map(version -> new StreamOrigin(pool.name(), version, organisationName())));
      }
      if (!isStreamTold) {
        isStreamTold = true;
        streamBinding
            .origin()
            .ifPresent(origin -> state.streamOrigins().begin(firstAttempt, origin));
      }
    }

    @Override
    public void onReadComplete() {
      if (!isEnded) {
        caller.flush();
      }
    }

    @Override
    public void onComplete(RunnerConnection.BodyFraming framing, boolean isRequestWritten) {
      if (isEnded) {
        return;
      }
      releaseLoad();
      if (framing == RunnerConnection.BodyFraming.CLOSE) {
        logAttempt(
            "answer_ended_by_close",
            this,
            "inside event: "
                + eventStream.isInsideEvent()
                + ", request written: "
                + isRequestWritten);
      }
      if (isEventStream && eventStream.isInsideEvent()) {
        onBrokenOff("stream ended in the middle of an event");
        return;
      }
      if (isSuccess && framing == RunnerConnection.BodyFraming.CLOSE && !isRequestWritten) {
        onBrokenOff("connection ended before the request was sent");
        return;
      }
      if (isSuccess && !isSoundRecorded) {
        recordSoundAnswer();
      }
      currentAttempt = Optional.empty();
      recordDuration();
      finish();
      caller.completeResponse();
    }

    @Override
    public void onFailure(String reason) {
      if (isEnded) {
        return;
      }
      releaseLoad();
      onBrokenOff(reason);
    }

    /**
     * Handles an interrupted response: retries the request on another runner, which resumes a
     * stream after its last complete event, or fails it.
     */
    private void onBrokenOff(String reason) {
      runner.recordFailure(1, state.now());
      mayHaveRun = true;
      logAttempt("answer_failed", this, reason);
      // The head of an answer may be lost in the crash, so unanswered requests are suspect too.
      if (!hasResponse || answerAge().compareTo(SUSPECT_ANSWER_AGE) <= 0) {
        server
            .crashDetector()
            .onAnswerBrokenOff(
                runner,
                new RunnerCrashDetector.Suspect(
                    id(), crashCheck.fingerprint(), crashCheck.sharedPartKeys(), sentAt));
      }
      if (silentAttempt.filter(this::equals).isPresent()) {
        cancelSilentAttempt();
        return;
      }
      currentAttempt = Optional.empty();
      if (resumeSilentAttempt()) {
        return;
      }
      eventStream.dropPartial();
      boolean isRetryAllowed = mayStartAgain();
      if (isRetryAllowed && crashCheck.isSuspect()) {
        // The crash that may have broken off this answer is not known yet; an earlier one is.
        events.retryDenied(
            route, "broken", "a runner has crashed under " + crashCheck.requestKey());
        isRetryAllowed = false;
      }
      if (!isRetryAllowed || !retryOnAnotherRunner("broken")) {
        fail("answer_failed", "the runner's answer broke off", RUNNER_FAILURE_RETRY_AFTER);
      }
    }
  }
}
