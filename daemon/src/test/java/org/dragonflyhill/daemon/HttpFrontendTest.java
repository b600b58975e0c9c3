package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
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
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Tests of {@link HttpFrontend} with invalid, slow and aborted requests and too many connections.
 */
public final class HttpFrontendTest {

  private static final int READ_TIMEOUT_MILLIS = 20_000;
  private static final String BODY = "{\"model\":\"m\",\"prompt\":\"p\"}";

  private NodeMetrics metrics;
  private volatile Mono<Reply> reply;
  private DrainController drain;
  private HttpFrontend frontend;

  /** Starts a frontend with low limits. */
  @BeforeMethod
  public void start() {
    reply = Mono.just(new Reply.Json(200, "{}"));
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
    frontend = new HttpFrontend(settings, context -> reply, metrics, drain, clock());
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

  /** Reads a response to its content length or, without one, to the end of the connection. */
  private static String receive(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    int next = in.read();
    while (next >= 0) {
      text.append((char) next);
      if (isCompleteResponse(text.toString())) {
        return text.toString();
      }
      next = in.read();
    }
    return text.toString();
  }

  private static boolean isCompleteResponse(String text) {
    int end = text.indexOf("\r\n\r\n");
    var length = java.util.regex.Pattern.compile("(?i)content-length: (\\d+)").matcher(text);
    return end >= 0
        && length.find()
        && text.length() >= end + 4 + Integer.parseInt(length.group(1));
  }

  private void assertServesNewConnection() throws IOException {
    try (Socket socket = connect()) {
      send(socket, post(BODY));
      assertTrue(receive(socket).startsWith("HTTP/1.1 200"));
    }
  }

  private String sendAndReceive(String text) throws IOException {
    try (Socket socket = connect()) {
      send(socket, text);
      return receive(socket);
    }
  }

  private long refusalCount(RefusalReason reason) {
    return metrics.counterValue("refused." + reason.code());
  }

  private void assertRefused(String response, int status, RefusalReason reason, long before) {
    assertTrue(response.startsWith("HTTP/1.1 " + status), response);
    assertTrue(response.contains("\"reason\":\"" + reason.code() + "\""), response);
    assertEquals(refusalCount(reason), before + 1);
  }

  @Test
  public void oversizedBodyIsRefusedAndConnectionStaysOpen() throws IOException {
    long before = refusalCount(RefusalReason.BODY_TOO_LARGE);
    try (Socket socket = connect()) {
      send(socket, post("x".repeat(3_000)));
      assertRefused(receive(socket), 413, RefusalReason.BODY_TOO_LARGE, before);
      send(socket, post(BODY));
      assertTrue(receive(socket).startsWith("HTTP/1.1 200"));
    }
  }

  @Test
  public void hugeBodyIsRefusedWithoutReadingItAll() throws IOException {
    long before = refusalCount(RefusalReason.BODY_TOO_LARGE);
    String answer = sendAndReceive(head(1_000_000) + "x".repeat(6_000));
    assertRefused(answer, 413, RefusalReason.BODY_TOO_LARGE, before);
    assertServesNewConnection();
  }

  @Test
  public void oversizedBodyWithExpectHeaderIsRefusedBeforeSending() throws IOException {
    long before = refusalCount(RefusalReason.BODY_TOO_LARGE);
    String head = head(5_000).replace("Host: n", "Host: n\r\nExpect: 100-continue");
    assertRefused(sendAndReceive(head), 413, RefusalReason.BODY_TOO_LARGE, before);
    assertServesNewConnection();
  }

  @Test
  public void oversizedHeadersAreRefused() throws IOException {
    long before = refusalCount(RefusalReason.MALFORMED_HTTP);
    String headers = "X-Long: " + "x".repeat(20_000);
    String answer = sendAndReceive(post(BODY).replace("Host: n", headers));
    assertTrue(answer.startsWith("HTTP/1.1 4"), answer);
    Awaitility.await().until(() -> refusalCount(RefusalReason.MALFORMED_HTTP) == before + 1);
    assertServesNewConnection();
  }

  @Test
  public void invalidUtf8IsRefused() throws IOException {
    long before = refusalCount(RefusalReason.BAD_REQUEST);
    assertRefused(
        sendAndReceive(post("{\"model\":\"" + (char) 0xff + "\"}")),
        400,
        RefusalReason.BAD_REQUEST,
        before);
    assertServesNewConnection();
  }

  @Test
  public void invalidJsonIsRefused() throws IOException {
    long before = refusalCount(RefusalReason.BAD_REQUEST);
    assertRefused(sendAndReceive(post("{\"model\":")), 400, RefusalReason.BAD_REQUEST, before);
    assertServesNewConnection();
  }

  @Test
  public void wrongMethodIsRefused() throws IOException {
    long before = refusalCount(RefusalReason.METHOD_NOT_ALLOWED);
    String answer = sendAndReceive(post(BODY).replace("POST", "PUT"));
    assertRefused(answer, 405, RefusalReason.METHOD_NOT_ALLOWED, before);
    assertServesNewConnection();
  }

  @Test
  public void slowBodyIsRefusedAndConnectionClosed() throws IOException {
    long before = refusalCount(RefusalReason.REQUEST_TIMEOUT);
    try (Socket socket = connect()) {
      send(socket, head(100) + "{");
      assertRefused(receive(socket), 408, RefusalReason.REQUEST_TIMEOUT, before);
      assertEquals(socket.getInputStream().read(), -1);
    }
    assertServesNewConnection();
  }

  @Test
  public void slowHeadersAreRefusedAndConnectionClosed() throws IOException {
    final long before = refusalCount(RefusalReason.REQUEST_TIMEOUT);
    try (Socket socket = connect()) {
      send(socket, "POST /v1/completions HTTP/1.1\r\nHost:");
      assertTrue(receive(socket).startsWith("HTTP/1.1 408"));
      assertEquals(refusalCount(RefusalReason.REQUEST_TIMEOUT), before + 1);
      assertEquals(socket.getInputStream().read(), -1);
    }
    assertServesNewConnection();
  }

  @Test
  public void slowHeadersAfterResponseAreRefused() throws IOException {
    try (Socket socket = connect()) {
      send(socket, post(BODY));
      assertTrue(receive(socket).startsWith("HTTP/1.1 200"));
      send(socket, "POST /v1/completions HTTP/1.1\r\nHost:");
      assertTrue(receive(socket).startsWith("HTTP/1.1 408"));
    }
  }

  @Test
  public void slowReplyDoesNotCountAsSlowHeaders() throws IOException {
    Reply emptyReply = new Reply.Json(200, "{}");
    reply = Mono.just(emptyReply).delayElement(java.time.Duration.ofMillis(900));
    try (Socket socket = connect()) {
      for (int i = 0; i < 2; i++) {
        send(socket, post(BODY));
        assertTrue(receive(socket).startsWith("HTTP/1.1 200"));
      }
    }
    assertEquals(refusalCount(RefusalReason.REQUEST_TIMEOUT), 0);
  }

  @Test
  public void connectionOverLimitIsRefusedAndClosed() throws IOException {
    final long before = refusalCount(RefusalReason.TOO_MANY_CONNECTIONS);
    try (Socket first = connect();
        Socket second = connect()) {
      send(first, post(BODY));
      receive(first);
      send(second, post(BODY));
      receive(second);
      assertRefused(sendAndReceive(post(BODY)), 503, RefusalReason.TOO_MANY_CONNECTIONS, before);
      send(first, post(BODY));
      assertTrue(receive(first).startsWith("HTTP/1.1 200"));
    }
    Awaitility.await().until(() -> sendAndReceive(post(BODY)).startsWith("HTTP/1.1 200"));
  }

  /** Errors by which the transports report a reset of the caller's connection, and others. */
  @DataProvider
  public Object[][] transportErrors() {
    return new Object[][] {
      {new SocketException("Connection reset"), true},
      {new IOException("Connection reset by peer"), true},
      {new SocketException("Broken pipe"), true},
      {new IOException("Connection reset"), false},
      {new SocketException("Connection refused"), false},
      {new IllegalStateException("Connection reset"), false},
    };
  }

  /** A reset is recognised on every transport; no other error passes as one. */
  @Test(dataProvider = "transportErrors")
  public void recognisesResetOnEveryTransport(Throwable error, boolean isReset) {
    assertEquals(HttpFrontend.isCallerDisconnected(error), isReset, error.toString());
  }

  @Test
  public void connectionResetDuringBodyReleasesRequest() throws IOException {
    final long before = metrics.counterValue("callers.gone");
    Socket socket = connect();
    send(socket, head(1_000) + "{");
    Awaitility.await().until(() -> drain.runningRequests() == 1);
    socket.setSoLinger(true, 0);
    socket.close();
    Awaitility.await().until(() -> drain.runningRequests() == 0);
    Awaitility.await().until(() -> metrics.counterValue("callers.gone") == before + 1);
    assertEquals(refusalCount(RefusalReason.INTERNAL), 0);
    assertServesNewConnection();
  }

  @Test
  public void callerDisconnectCancelsHandler() throws IOException {
    AtomicInteger cancelled = new AtomicInteger();
    reply = Mono.<Reply>never().doOnCancel(cancelled::incrementAndGet);
    Socket socket = connect();
    send(socket, post(BODY));
    Awaitility.await().until(() -> drain.runningRequests() == 1);
    Awaitility.await().pollDelay(java.time.Duration.ofMillis(200)).until(() -> true);
    socket.close();
    Awaitility.await().until(() -> cancelled.get() == 1 && drain.runningRequests() == 0);
  }

  @Test
  public void callerDisconnectDuringStreamCancelsStream() throws IOException {
    AtomicInteger cancelled = new AtomicInteger();
    Flux<Reply.StreamEvent> events =
        Flux.<Reply.StreamEvent>just(new Reply.StreamEvent.Data("{}"))
            .concatWith(Flux.never())
            .doOnCancel(cancelled::incrementAndGet);
    reply = Mono.just(new Reply.Stream(events));
    Socket socket = connect();
    send(socket, post(BODY));
    assertTrue(socket.getInputStream().read() >= 0);
    socket.close();
    Awaitility.await().until(() -> cancelled.get() == 1 && drain.runningRequests() == 0);
  }

  @Test
  public void failureBeforeFirstEventSetsHttpStatus() throws IOException {
    final long before = refusalCount(RefusalReason.STREAM_CUT);
    reply = Mono.just(new Reply.Stream(Flux.just(failedEvent())));
    assertRefused(sendAndReceive(post(BODY)), 502, RefusalReason.STREAM_CUT, before);
  }

  @Test
  public void failureDuringStreamIsSentAsLastEvent() throws IOException {
    final long before = refusalCount(RefusalReason.STREAM_CUT);
    reply = Mono.just(new Reply.Stream(Flux.just(new Reply.StreamEvent.Data("{}"), failedEvent())));
    String text = sendAndReceive(post(BODY).replace("Host: n", "Host: n\r\nConnection: close"));
    assertTrue(text.startsWith("HTTP/1.1 200"), text);
    assertTrue(text.contains("event: error\ndata: {\"type\":"), text);
    assertFalse(text.contains("[DONE]"), text);
    assertEquals(refusalCount(RefusalReason.STREAM_CUT), before + 1);
  }

  @Test
  public void openConnectionIsServedAfterListenerCloses() throws IOException {
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
    reply = Mono.never();
    try (Socket socket = connect()) {
      send(socket, post(BODY));
      Awaitility.await().until(() -> drain.runningRequests() == 1);
      drain.abort();
      String text = receive(socket);
      assertTrue(text.startsWith("HTTP/1.1 503"), text);
      assertTrue(text.contains("\"executed\":\"unknown\""), text);
    }
  }

  private static Reply.StreamEvent failedEvent() {
    return new Reply.StreamEvent.Failed(Refusal.unknown(RefusalReason.STREAM_CUT, "cut"));
  }
}
