package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.ports.SettingValues;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Tests of {@link HttpFrontend} with callers that misbehave. */
public final class HttpFrontendTest {

  private static final int READ_TIMEOUT_MILLIS = 20_000;
  private static final String BODY = "{\"model\":\"m\",\"prompt\":\"p\"}";

  private NodeMetrics metrics;
  private volatile Mono<Reply> answer;
  private DrainController drain;
  private HttpFrontend frontend;

  /** Starts a frontend with small limits. */
  @BeforeMethod
  public void start() {
    answer = Mono.just(new Reply.Json(200, "{}"));
    metrics = new NodeMetrics();
    drain = new DrainController();
    String[] flags = {
      "--node=n",
      "--zone=z",
      "--http-port=0",
      "--admin-port=0",
      "--peer-port=0",
      "--log=127.0.0.1:1",
      "--host-list=127.0.0.1:1",
      "--secret=a-secret-for-tests-only",
      "--max-body-bytes=1024",
      "--max-connections=2",
      "--body-timeout-millis=300"
    };
    SettingValues values = SettingValues.read(DaemonSettings.SPECS, flags, Map.of());
    DaemonSettings settings = DaemonSettings.from(values);
    assertEquals(values.errors().size(), 0, values.errors().toString());
    frontend = new HttpFrontend(settings, context -> answer, metrics, drain, clock());
  }

  /** Stops the frontend. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    frontend.close();
  }

  private static InstantSource clock() {
    return InstantSource.system();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", frontend.port());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    return socket;
  }

  private static String post(String body) {
    return head(body.length()) + body;
  }

  private static String head(int length) {
    return "POST /v1/completions HTTP/1.1\r\nHost: n\r\nContent-Length: " + length + "\r\n\r\n";
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads one answer with a length, or up to the end of the connection. */
  private static String receive(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    int next = in.read();
    while (next >= 0) {
      text.append((char) next);
      if (isWhole(text.toString())) {
        return text.toString();
      }
      next = in.read();
    }
    return text.toString();
  }

  private static boolean isWhole(String text) {
    int end = text.indexOf("\r\n\r\n");
    var length = java.util.regex.Pattern.compile("(?i)content-length: (\\d+)").matcher(text);
    return end >= 0
        && length.find()
        && text.length() >= end + 4 + Integer.parseInt(length.group(1));
  }

  private void assertServesNext() throws IOException {
    try (Socket socket = connect()) {
      send(socket, post(BODY));
      assertTrue(receive(socket).startsWith("HTTP/1.1 200"));
    }
  }

  private String exchange(String text) throws IOException {
    try (Socket socket = connect()) {
      send(socket, text);
      return receive(socket);
    }
  }

  private long refused(RefusalReason reason) {
    return metrics.counted("refused." + reason.code());
  }

  private void assertRefused(String answer, int status, RefusalReason reason, long before) {
    assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
    assertTrue(answer.contains("\"reason\":\"" + reason.code() + "\""), answer);
    assertEquals(refused(reason), before + 1);
  }

  @Test
  public void oversizedBodyIsRefusedAndConnectionGoesOn() throws IOException {
    long before = refused(RefusalReason.BODY_TOO_LARGE);
    try (Socket socket = connect()) {
      send(socket, post("x".repeat(3_000)));
      assertRefused(receive(socket), 413, RefusalReason.BODY_TOO_LARGE, before);
      send(socket, post(BODY));
      assertTrue(receive(socket).startsWith("HTTP/1.1 200"));
    }
  }

  @Test
  public void hugeBodyIsRefusedWithoutReadingItAll() throws IOException {
    long before = refused(RefusalReason.BODY_TOO_LARGE);
    String answer = exchange(head(1_000_000) + "x".repeat(6_000));
    assertRefused(answer, 413, RefusalReason.BODY_TOO_LARGE, before);
    assertServesNext();
  }

  @Test
  public void announcedOversizedBodyIsRefusedUnsent() throws IOException {
    long before = refused(RefusalReason.BODY_TOO_LARGE);
    String head = head(5_000).replace("Host: n", "Host: n\r\nExpect: 100-continue");
    assertRefused(exchange(head), 413, RefusalReason.BODY_TOO_LARGE, before);
    assertServesNext();
  }

  @Test
  public void oversizedHeadersAreRefused() throws IOException {
    long before = refused(RefusalReason.MALFORMED_HTTP);
    String headers = "X-Long: " + "x".repeat(20_000);
    String answer = exchange(post(BODY).replace("Host: n", headers));
    assertTrue(answer.startsWith("HTTP/1.1 4"), answer);
    Awaitility.await().until(() -> refused(RefusalReason.MALFORMED_HTTP) == before + 1);
    assertServesNext();
  }

  @Test
  public void invalidUtf8IsRefused() throws IOException {
    long before = refused(RefusalReason.BAD_REQUEST);
    assertRefused(
        exchange(post("{\"model\":\"" + (char) 0xff + "\"}")),
        400,
        RefusalReason.BAD_REQUEST,
        before);
    assertServesNext();
  }

  @Test
  public void invalidJsonIsRefused() throws IOException {
    long before = refused(RefusalReason.BAD_REQUEST);
    assertRefused(exchange(post("{\"model\":")), 400, RefusalReason.BAD_REQUEST, before);
    assertServesNext();
  }

  @Test
  public void wrongMethodIsRefused() throws IOException {
    long before = refused(RefusalReason.METHOD_NOT_ALLOWED);
    String answer = exchange(post(BODY).replace("POST", "PUT"));
    assertRefused(answer, 405, RefusalReason.METHOD_NOT_ALLOWED, before);
    assertServesNext();
  }

  @Test
  public void slowBodyIsRefusedAndConnectionClosed() throws IOException {
    long before = refused(RefusalReason.REQUEST_TIMEOUT);
    try (Socket socket = connect()) {
      send(socket, head(100) + "{");
      assertRefused(receive(socket), 408, RefusalReason.REQUEST_TIMEOUT, before);
      assertEquals(socket.getInputStream().read(), -1);
    }
    assertServesNext();
  }

  @Test
  public void slowHeadersAreRefusedAndConnectionClosed() throws IOException {
    final long before = refused(RefusalReason.REQUEST_TIMEOUT);
    try (Socket socket = connect()) {
      send(socket, "POST /v1/completions HTTP/1.1\r\nHost:");
      assertTrue(receive(socket).startsWith("HTTP/1.1 408"));
      assertEquals(refused(RefusalReason.REQUEST_TIMEOUT), before + 1);
      assertEquals(socket.getInputStream().read(), -1);
    }
    assertServesNext();
  }

  @Test
  public void slowHeadersAfterAnAnswerAreRefused() throws IOException {
    try (Socket socket = connect()) {
      send(socket, post(BODY));
      assertTrue(receive(socket).startsWith("HTTP/1.1 200"));
      send(socket, "POST /v1/completions HTTP/1.1\r\nHost:");
      assertTrue(receive(socket).startsWith("HTTP/1.1 408"));
    }
  }

  @Test
  public void longAnswerIsNoSlowHead() throws IOException {
    Reply whole = new Reply.Json(200, "{}");
    answer = Mono.just(whole).delayElement(java.time.Duration.ofMillis(900));
    try (Socket socket = connect()) {
      for (int i = 0; i < 2; i++) {
        send(socket, post(BODY));
        assertTrue(receive(socket).startsWith("HTTP/1.1 200"));
      }
    }
    assertEquals(refused(RefusalReason.REQUEST_TIMEOUT), 0);
  }

  @Test
  public void connectionOverLimitIsToldAndClosed() throws IOException {
    final long before = refused(RefusalReason.TOO_MANY_CONNECTIONS);
    try (Socket first = connect();
        Socket second = connect()) {
      send(first, post(BODY));
      receive(first);
      send(second, post(BODY));
      receive(second);
      assertRefused(exchange(post(BODY)), 503, RefusalReason.TOO_MANY_CONNECTIONS, before);
      send(first, post(BODY));
      assertTrue(receive(first).startsWith("HTTP/1.1 200"));
    }
    Awaitility.await().until(() -> exchange(post(BODY)).startsWith("HTTP/1.1 200"));
  }

  @Test
  public void resetInTheMiddleOfBodyLeavesNothingBehind() throws IOException {
    final long before = metrics.counted("callers.gone");
    Socket socket = connect();
    send(socket, head(1_000) + "{");
    Awaitility.await().until(() -> drain.runningRequests() == 1);
    socket.setSoLinger(true, 0);
    socket.close();
    Awaitility.await().until(() -> drain.runningRequests() == 0);
    Awaitility.await().until(() -> metrics.counted("callers.gone") == before + 1);
    assertEquals(refused(RefusalReason.INTERNAL), 0);
    assertServesNext();
  }

  @Test
  public void disconnectOfCallerCancelsItsWork() throws IOException {
    AtomicInteger cancelled = new AtomicInteger();
    answer = Mono.<Reply>never().doOnCancel(cancelled::incrementAndGet);
    Socket socket = connect();
    send(socket, post(BODY));
    Awaitility.await().until(() -> drain.runningRequests() == 1);
    Awaitility.await().pollDelay(java.time.Duration.ofMillis(200)).until(() -> true);
    socket.close();
    Awaitility.await().until(() -> cancelled.get() == 1 && drain.runningRequests() == 0);
  }

  @Test
  public void disconnectInTheMiddleOfStreamCancelsItsWork() throws IOException {
    AtomicInteger cancelled = new AtomicInteger();
    Flux<Reply.StreamEvent> events =
        Flux.<Reply.StreamEvent>just(new Reply.StreamEvent.Data("{}"))
            .concatWith(Flux.never())
            .doOnCancel(cancelled::incrementAndGet);
    answer = Mono.just(new Reply.Stream(events));
    Socket socket = connect();
    send(socket, post(BODY));
    assertTrue(socket.getInputStream().read() >= 0);
    socket.close();
    Awaitility.await().until(() -> cancelled.get() == 1 && drain.runningRequests() == 0);
  }

  @Test
  public void failureBeforeFirstEventGetsItsOwnStatus() throws IOException {
    final long before = refused(RefusalReason.STREAM_CUT);
    answer = Mono.just(new Reply.Stream(Flux.just(broken())));
    assertRefused(exchange(post(BODY)), 502, RefusalReason.STREAM_CUT, before);
  }

  @Test
  public void failureInTheMiddleOfStreamIsItsLastEvent() throws IOException {
    final long before = refused(RefusalReason.STREAM_CUT);
    answer = Mono.just(new Reply.Stream(Flux.just(new Reply.StreamEvent.Data("{}"), broken())));
    String text = exchange(post(BODY).replace("Host: n", "Host: n\r\nConnection: close"));
    assertTrue(text.startsWith("HTTP/1.1 200"), text);
    assertTrue(text.contains("event: error\ndata: {\"type\":"), text);
    assertFalse(text.contains("[DONE]"), text);
    assertEquals(refused(RefusalReason.STREAM_CUT), before + 1);
  }

  @Test
  public void openConnectionIsServedAfterListeningEnded() throws IOException {
    try (Socket socket = connect()) {
      send(socket, post(BODY));
      receive(socket);
      frontend.stopListening();
      Awaitility.await().until(() -> !canConnect());
      send(socket, post(BODY));
      assertTrue(receive(socket).startsWith("HTTP/1.1 200"));
    }
  }

  private boolean canConnect() {
    try (Socket socket = connect()) {
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  @Test
  public void abortEndsRunningRequestWithExplicitError() throws IOException {
    answer = Mono.never();
    try (Socket socket = connect()) {
      send(socket, post(BODY));
      Awaitility.await().until(() -> drain.runningRequests() == 1);
      drain.abort();
      String text = receive(socket);
      assertTrue(text.startsWith("HTTP/1.1 503"), text);
      assertTrue(text.contains("\"executed\":\"unknown\""), text);
    }
  }

  private static Reply.StreamEvent broken() {
    return new Reply.StreamEvent.Broken(Refusal.unknown(RefusalReason.STREAM_CUT, "cut"));
  }
}
