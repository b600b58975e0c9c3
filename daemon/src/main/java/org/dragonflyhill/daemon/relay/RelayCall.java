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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.dragonflyhill.core.relay.Admission;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.EventStream;
import org.dragonflyhill.core.relay.Organisation;
import org.dragonflyhill.core.relay.Prompt;
import org.dragonflyhill.core.relay.RelayConfiguration;
import org.dragonflyhill.core.relay.Route;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.RunnerChoice;
import org.dragonflyhill.core.relay.Service;

/**
 * One request on its way: finds a runner, relays its answer, and goes on elsewhere where it may.
 */
final class RelayCall implements WaitingCalls.Call {

  private static final Duration NO_CONFIGURATION_RETRY = Duration.ofMillis(500);
  private static final Duration NO_RUNNER_RETRY = Duration.ofMillis(400);
  private static final Duration STOPPING_RETRY = Duration.ofMillis(50);
  private static final Duration RUNNER_FULL_RETRY = Duration.ofMillis(150);

  /** Callers wait as told up to a third of the time they have left, by the users' pages. */
  private static final int RETRY_SHARE = 4;

  /** Runners that may be found out of reach before the request is refused. */
  private static final int MAX_UNREACHED = 3;

  /** Pause within a stream after which it goes on at another runner where it may. */
  private static final Duration STREAM_SILENCE = Duration.ofMillis(1_200);

  /** Time that a caller has used by the time it comes back, at least. */
  private static final Duration RETURNING_MARGIN = Duration.ofMillis(100);

  /** Time after sending within which a fetch must end; what it reads may be freed later. */
  private static final Duration LONGEST_FETCH = Duration.ofMillis(2_000);

  private static final Duration DEFAULT_TIME_LEFT = Duration.ofSeconds(30);

  private final RelayServer server;
  private final RelayState state;
  private final CallerConnection caller;
  private final HttpRequest request;
  private final ByteBuf body;
  private final Instant began;
  private final Set<String> tried = new HashSet<>();
  private final EventStream events = new EventStream();
  private CallDialect.CallHead head;
  private RelayConfiguration configuration;
  private Route route;
  private Service.Pool pool;
  private Optional<Organisation> organisation = Optional.empty();
  private Instant callerDeadline = Instant.MAX;
  private Instant end = Instant.MAX;
  private int sent;
  private int unreached;
  private Optional<Attempt> attempt = Optional.empty();
  private boolean hasPossiblyRun;
  private boolean isWaiting;
  private Instant waitUntil = Instant.MAX;
  private boolean isHeadWritten;
  private boolean isDone;

  RelayCall(
      RelayServer server,
      CallerConnection caller,
      HttpRequest request,
      ByteBuf body,
      Instant began) {
    this.server = server;
    this.state = server.state();
    this.caller = caller;
    this.request = request;
    this.body = body;
    this.began = began;
  }

  /** Checks the request against the configuration and sends it on. */
  void start() {
    server.began(this);
    state.metrics().count("relay.requests");
    if (request.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)) {
      caller.wantsClose();
    }
    Either<String, CallDialect.CallHead> read = server.dialect().call(request);
    if (read.isLeft()) {
      refuse(HttpResponseStatus.BAD_REQUEST, "malformed", read.getLeft(), Optional.empty());
      return;
    }
    head = read.get();
    callerDeadline = began.plus(head.timeLeft().orElse(DEFAULT_TIME_LEFT));
    if (server.isRefusing()) {
      unavailable("stopping", "the node is stopping", STOPPING_RETRY);
      return;
    }
    Optional<RelayConfiguration> known = state.configuration();
    if (known.isEmpty()) {
      unavailable("no_configuration", "no configuration yet", NO_CONFIGURATION_RETRY);
      return;
    }
    configuration = known.get();
    String host = request.headers().get(HttpHeaderNames.HOST).replaceFirst(":[0-9]*$", "");
    Optional<Route> found =
        configuration.route(host.toLowerCase(Locale.ROOT), request.uri().split("\\?", 2)[0]);
    if (found.isEmpty()) {
      refuse(HttpResponseStatus.NOT_FOUND, "no_route", "no such route", Optional.empty());
      return;
    }
    route = found.get();
    if (!isAllowed()) {
      refuse(HttpResponseStatus.UNAUTHORIZED, "unknown_key", "unknown key", Optional.empty());
      return;
    }
    Instant routeEnd = began.plus(route.timeout());
    end = callerDeadline.isBefore(routeEnd) ? callerDeadline : routeEnd;
    String service = route.service(point());
    Optional<Service.Pool> named = configuration.pool(service);
    if (named.isEmpty()) {
      unavailable("no_service", "unknown service " + service, NO_RUNNER_RETRY);
      return;
    }
    pool = named.get();
    state.retryBudget(service).requested(state.now());
    dispatch();
  }

  private boolean isAllowed() {
    if (!configuration.hasOrganisations()) {
      return true;
    }
    if (head.key().isEmpty()) {
      return route.isAnonymousAllowed();
    }
    organisation = configuration.organisation(head.key().get());
    return organisation.isPresent();
  }

  private double point() {
    int hash = (id() + route.name()).hashCode() * 0x9E3779B9;
    return (hash >>> 8) / (double) (1 << 24);
  }

  private String id() {
    return head == null ? "" : head.id().orElse("");
  }

  private void dispatch() {
    if (isDone) {
      return;
    }
    Instant now = state.now();
    List<Runner> open = new ArrayList<>();
    for (Runner runner : state.reachable(pool.name())) {
      if (!tried.contains(runner.id())) {
        open.add(runner);
      }
    }
    Optional<Attempt> next = choose(open, now);
    if (next.isEmpty()) {
      giveUp("no_runner", "no runner of " + pool.name() + " is open", NO_RUNNER_RETRY);
      return;
    }
    Attempt chosen = next.get();
    if (sent == 0 && chosen.placed != null) {
      Optional<Duration> comeBack =
          Admission.refusal(chosen.placed, route.objective(), isReturning());
      if (comeBack.isPresent()) {
        unavailable("overloaded", chosen.placed.explanation(), comeBack.get());
        return;
      }
      if (!Admission.hasRoom(chosen.placed) && !isWaitOver(now)) {
        waitForRoom(chosen.placed, now);
        return;
      }
    }
    isWaiting = false;
    attempt = next;
    tried.add(chosen.runner.id());
    server
        .connections()
        .acquire(
            chosen.runner.info().endpoint(),
            connection -> send(chosen, connection),
            error -> unreached(chosen, error));
  }

  /** Keeps the request at this node; {@link WaitingCalls} tries again until the wait is over. */
  private void waitForRoom(RunnerChoice.Placed placed, Instant now) {
    if (waitUntil.equals(Instant.MAX)) {
      state
          .log()
          .note(
              "request_waits",
              event ->
                  event
                      .with("request", id())
                      .with("route", route.name())
                      .with("rank", rank())
                      .with("detail", placed.explanation()));
      waitUntil = now.plus(Admission.longestWait(route.objective()));
      state.metrics().count("relay.waited");
      server.waiting().add(this);
    }
    isWaiting = true;
  }

  @Override
  public boolean isWaitOver(Instant now) {
    return !now.isBefore(waitUntil);
  }

  @Override
  public boolean retry(Instant now) {
    if (isWaiting && !isDone) {
      dispatch();
    }
    return isDone || !isWaiting;
  }

  private Optional<Attempt> choose(List<Runner> open, Instant now) {
    if (pool.engine().isEmpty() || head.prompt().isEmpty()) {
      return state.choice().plain(open, id(), now).map(runner -> new Attempt(runner, null));
    }
    Prompt prompt = head.prompt().get();
    Service.Engine engine = pool.engine().get();
    List<Prompt.Part> shared = prompt.sharedParts();
    String affinity = shared.isEmpty() ? id() : shared.get(shared.size() - 1).id();
    var wanted =
        new RunnerChoice.Request(
            prompt,
            version -> RelayState.salt(prompt.model(), version, organisation),
            affinity,
            engine.bytesPerToken(),
            engine.memoryTokens(),
            rank(),
            state.newestWeights().getOrDefault(prompt.model(), 0L));
    return state
        .choice()
        .prompt(wanted, open, state.sources(pool.name(), engine), now)
        .map(placed -> new Attempt(placed.runner(), placed));
  }

  private void send(Attempt chosen, RunnerConnection connection) {
    if (isDone || attempt.filter(chosen::equals).isEmpty()) {
      server.connections().release(connection);
      return;
    }
    final Instant now = state.now();
    var out = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
    HttpHeaders headers = out.headers();
    headers.add(request.headers());
    HopHeaders.strip(headers);
    server.dialect().strip(headers, configuration.hasOrganisations());
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (body.isReadable() || HttpUtil.isContentLengthSet(request)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    } else if (HttpUtil.isTransferEncodingChunked(request)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, 0);
    }
    Optional<String> lastEventId = events.lastId().or(head::lastEventId);
    server
        .dialect()
        .address(
            headers,
            new CallDialect.Dispatch(
                chosen.runner.id(),
                timeLeft(now),
                organisation.map(Organisation::name),
                urgency(),
                chosen.cacheUse(head.prompt()),
                lastEventId));
    sent++;
    chosen.sent(connection, now);
    connection.send(out, body.retainedDuplicate(), id(), chosen);
  }

  /** A caller that has less time than its route gives has spent some of it already. */
  private boolean isReturning() {
    return head.timeLeft()
        .filter(left -> left.plus(RETURNING_MARGIN).compareTo(route.timeout()) < 0)
        .isPresent();
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

  private void unreached(Attempt chosen, Throwable error) {
    if (isDone || attempt.filter(chosen::equals).isEmpty()) {
      return;
    }
    attempt = Optional.empty();
    chosen.runner.unreached(state.now());
    unreached++;
    note("runner_unreached", chosen, error.toString());
    if (unreached >= MAX_UNREACHED) {
      giveUp("runners_unreached", "no runner could be reached", NO_RUNNER_RETRY);
      return;
    }
    dispatch();
  }

  private void note(String event, Attempt chosen, String detail) {
    state.metrics().count("relay." + event);
    state
        .log()
        .note(
            event,
            line ->
                line.with("request", id())
                    .with("route", route.name())
                    .with("runner", chosen.runner.id())
                    .with("attempt", sent)
                    .with("age_ms", Duration.between(began, state.now()).toMillis())
                    .with("configuration", configuration.version())
                    .with("detail", detail));
  }

  /** Sends the request to another runner if route, budget and time allow; returns whether. */
  private boolean tryElsewhere(String reason) {
    Instant now = state.now();
    boolean isAllowed =
        sent < route.maxAttempts()
            && now.isBefore(end)
            && !state.runners().open(pool.name()).stream()
                .allMatch(runner -> tried.contains(runner.id()));
    if (!isAllowed || !state.retryBudget(pool.name()).tryTake(state.nodes(), now)) {
      return false;
    }
    state.metrics().retried(reason);
    dispatch();
    return true;
  }

  /** Ends a request that has not run and will not, or breaks off a stream that cannot go on. */
  private void giveUp(String reason, String detail, Duration retryAfter) {
    if (isHeadWritten) {
      breakOff(reason);
    } else if (hasPossiblyRun) {
      refuse(HttpResponseStatus.BAD_GATEWAY, reason, detail, Optional.empty());
    } else {
      unavailable(reason, detail, retryAfter);
    }
  }

  private void unavailable(String reason, String detail, Duration retryAfter) {
    Duration longest = Duration.between(state.now(), callerDeadline).dividedBy(RETRY_SHARE);
    Duration wait = retryAfter.compareTo(longest) > 0 ? longest : retryAfter;
    refuse(
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        reason,
        detail,
        Optional.of(wait.isNegative() ? Duration.ZERO : wait));
  }

  private void refuse(
      HttpResponseStatus status, String reason, String detail, Optional<Duration> retryAfter) {
    if (isDone) {
      return;
    }
    server.refused(reason, id(), detail + ", " + status.code());
    done();
    caller.answer(status, detail, retryAfter, Optional.of(id()).filter(id -> !id.isEmpty()));
  }

  private void breakOff(String reason) {
    state.metrics().count("relay.broken_off");
    state
        .log()
        .note("answer_broken_off", event -> event.with("request", id()).with("reason", reason));
    done();
    caller.abort();
  }

  private void done() {
    if (isDone) {
      return;
    }
    isDone = true;
    attempt.ifPresent(Attempt::cancel);
    attempt = Optional.empty();
    body.release();
    server.ended(this);
  }

  /** The caller has left: nothing more is done for the request. */
  void callerGone() {
    if (!isDone) {
      state.metrics().count("relay.callers_gone");
      done();
    }
  }

  void callerWritable(boolean isWritable) {
    attempt.flatMap(current -> current.connection).ifPresent(c -> c.pauseReading(!isWritable));
  }

  /** Looks after time limits and runners that have fallen silent. */
  void tick(Instant now) {
    if (isDone) {
      return;
    }
    if (!now.isBefore(end)) {
      timeOut();
      return;
    }
    if (attempt.isPresent() && route.isRepeatable() && attempt.get().isSilent(now)) {
      Attempt silent = attempt.get();
      if (sent < route.maxAttempts()) {
        note("runner_silent", silent, "no answer yet");
        silent.runner.unreached(now);
        server.connections().drop(silent.runner.info().endpoint());
        silent.cancel();
        events.dropPartial();
        attempt = Optional.empty();
        hasPossiblyRun = true;
        if (!tryElsewhere("silent")) {
          giveUp("runner_silent", "the runner fell silent", RUNNER_FULL_RETRY);
        }
      }
    }
  }

  private void timeOut() {
    boolean isSent = attempt.filter(current -> current.connection.isPresent()).isPresent();
    attempt.ifPresent(current -> note("timed_out", current, "time limit reached"));
    hasPossiblyRun |= isSent;
    if (isHeadWritten) {
      breakOff("timed_out");
    } else if (hasPossiblyRun) {
      refuse(HttpResponseStatus.GATEWAY_TIMEOUT, "timed_out", "timed out", Optional.empty());
    } else {
      unavailable("timed_out_unsent", "timed out before it was sent", Duration.ZERO);
    }
  }

  /** One sending of the request to a runner. */
  private final class Attempt implements RunnerConnection.Exchange {

    private final Runner runner;
    private final RunnerChoice.Placed placed;
    private Optional<RunnerConnection> connection = Optional.empty();
    private Instant heardAt = Instant.MAX;
    private Instant sentAt = Instant.MAX;
    private boolean isAnswered;
    private boolean isEnded;

    Attempt(Runner runner, RunnerChoice.Placed placed) {
      this.runner = runner;
      this.placed = placed;
    }

    Optional<CallDialect.CacheUse> cacheUse(Optional<Prompt> prompt) {
      if (placed == null || prompt.isEmpty()) {
        return Optional.empty();
      }
      // What was learnt of the runner since it was chosen would not fit the salt.
      final long version = placed.weightVersion();
      List<Optional<Endpoint>> fetches = new ArrayList<>(placed.fetches());
      while (fetches.size() < prompt.get().parts().size()) {
        fetches.add(Optional.empty());
      }
      List<Optional<Endpoint>> saves =
          new ArrayList<>(state.saves(placed.salt(), prompt.get().sharedParts()));
      while (!saves.isEmpty() && saves.size() < prompt.get().parts().size()) {
        saves.add(Optional.empty());
      }
      OptionalLong until = state.runnersMillis();
      if (until.isEmpty()) {
        // A fetch without an end may meet parts that are being freed.
        fetches.replaceAll(any -> Optional.empty());
      }
      return Optional.of(
          new CallDialect.CacheUse(
              placed.salt(),
              version == 0 ? OptionalLong.empty() : OptionalLong.of(version),
              fetches,
              until.isPresent()
                  ? OptionalLong.of(until.getAsLong() + LONGEST_FETCH.toMillis())
                  : OptionalLong.empty(),
              saves));
    }

    private long unread() {
      return placed == null ? 0 : placed.unreadTokens();
    }

    private long memory() {
      return placed == null ? 0 : head.prompt().map(Prompt::memoryTokens).orElse(0);
    }

    void sent(RunnerConnection used, Instant now) {
      connection = Optional.of(used);
      heardAt = now;
      sentAt = now;
      runner.sent(rank(), unread(), memory(), now);
      if (placed != null) {
        state
            .parts()
            .expect(
                runner.info().endpoint(), placed.salt(), head.prompt().get().sharedParts(), now);
      }
    }

    boolean isSilent(Instant now) {
      if (connection.isEmpty()) {
        return false;
      }
      return isAnswered
          ? Duration.between(heardAt, now).compareTo(STREAM_SILENCE) > 0
          : state.isSilent(runner, placed != null)
              && Duration.between(heardAt, now).compareTo(Runner.SUSPICIOUS_SILENCE) > 0;
    }

    void cancel() {
      if (!isEnded && connection.isPresent()) {
        RunnerConnection used = connection.get();
        leave();
        used.cancel();
      }
      isEnded = true;
    }

    private void leave() {
      if (!isEnded) {
        isEnded = true;
        runner.ended(isAnswered, rank(), unread(), memory());
      }
    }

    @Override
    public void heard() {
      heardAt = state.now();
      runner.heard(heardAt);
    }

    @Override
    public void head(HttpResponse response, CallDialect.ReplyHead reply) {
      Instant now = state.now();
      if (!isAnswered) {
        isAnswered = true;
        runner.answered(rank(), unread(), now);
        if (placed != null && !reply.isNotRun()) {
          state.choice().measured(placed, Duration.between(sentAt, now).toNanos() / 1e9, now);
        }
      }
      head.prompt()
          .ifPresent(
              prompt ->
                  reply.weightVersion().ifPresent(version -> runner.runs(prompt.model(), version)));
      int status = response.status().code();
      if (reply.isNotRun() || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
        notRun(status, reply);
        return;
      }
      hasPossiblyRun = true;
      if (status >= 500) {
        runner.failed(1, now);
        note("runner_failed", this, "status " + status);
        if (route.isRepeatable() && !isHeadWritten && canGoElsewhere()) {
          return;
        }
      } else {
        runner.succeeded(now);
      }
      if (isHeadWritten) {
        if (status != 200) {
          leaveFor("resume_refused");
        }
        return;
      }
      writeHead(response);
    }

    /** Leaves this runner's failure behind if the request may be sent elsewhere. */
    private boolean canGoElsewhere() {
      if (!tryElsewhere("runner_failed")) {
        return false;
      }
      cancel();
      return true;
    }

    private void notRun(int status, CallDialect.ReplyHead reply) {
      Instant now = state.now();
      note("runner_refused", this, "status " + status);
      if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
        misdirected(reply);
      } else {
        runner.failed(0.5, now);
      }
      leaveFor("refused");
    }

    /** The address is another runner's now, or the runner has other weights than expected. */
    private void misdirected(CallDialect.ReplyHead reply) {
      boolean isOther = reply.runnerId().filter(id -> !id.equals(runner.id())).isPresent();
      if (isOther || placed == null) {
        runner.saidLeaving();
        return;
      }
      String model = head.prompt().get().model();
      // It has changed at least once; more is not assumed, or a rollout would pass it over.
      long newest = state.newestWeights().getOrDefault(model, 0L);
      runner.runs(model, Math.min(newest, placed.weightVersion() + 1));
      tried.remove(runner.id());
    }

    private void leaveFor(String reason) {
      cancel();
      attempt = Optional.empty();
      if (!tryElsewhere(reason)) {
        giveUp(reason, "the runner refused the request", RUNNER_FULL_RETRY);
      }
    }

    private void writeHead(HttpResponse response) {
      var out = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status());
      out.headers().add(response.headers());
      HopHeaders.strip(out.headers());
      if (isResumable() || !HttpUtil.isContentLengthSet(response)) {
        out.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        HttpUtil.setTransferEncodingChunked(out, true);
      }
      isHeadWritten = true;
      caller.writeHead(out);
    }

    private boolean isResumable() {
      return route.kind() == Route.Kind.STREAM && route.isResumable();
    }

    @Override
    public void content(ByteBuf bytes) {
      if (isEnded || !isHeadWritten) {
        return;
      }
      if (isResumable()) {
        byte[] whole = events.take(ByteBufUtil.getBytes(bytes));
        if (whole.length > 0) {
          caller.writeContent(Unpooled.wrappedBuffer(whole));
        }
      } else {
        caller.writeContent(bytes.retain());
      }
      if (!caller.isWritable()) {
        connection.ifPresent(used -> used.pauseReading(true));
      }
    }

    @Override
    public void flush() {
      if (!isEnded) {
        caller.flush();
      }
    }

    @Override
    public void end() {
      if (isEnded) {
        return;
      }
      leave();
      if (isResumable() && events.hasPartial()) {
        goOn("stream ended within an event");
        return;
      }
      attempt = Optional.empty();
      state
          .metrics()
          .timer("relay." + route.kind().name().toLowerCase(Locale.ROOT))
          .update(Duration.between(began, state.now()));
      done();
      caller.endAnswer();
    }

    @Override
    public void failed(String reason) {
      if (isEnded) {
        return;
      }
      leave();
      runner.failed(1, state.now());
      hasPossiblyRun = true;
      goOn(reason);
    }

    private void goOn(String reason) {
      note("answer_failed", this, reason);
      attempt = Optional.empty();
      events.dropPartial();
      boolean isMine = isHeadWritten ? isResumable() : route.isRepeatable();
      if (!isMine || !tryElsewhere("broken")) {
        giveUp("answer_failed", "the runner's answer broke off", RUNNER_FULL_RETRY);
      }
    }
  }
}
