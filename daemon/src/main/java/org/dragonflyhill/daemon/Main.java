package org.dragonflyhill.daemon;

import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.SettingValues;

/** Entry point of the program {@code dragonflyhilld}. Stateless and thread-safe. */
public final class Main {

  private static final int EXIT_USAGE = 2;
  private static final int EXIT_REQUESTS_ABORTED = 1;

  private Main() {}

  /** Reads the settings, starts a node and stops it gracefully on a termination signal. */
  public static void main(String[] args) throws InterruptedException {
    SettingValues values = SettingValues.read(DaemonSettings.SPECS, args, System.getenv());
    if (values.isHelpRequested()) {
      System.out.print(SettingValues.help("dragonflyhilld", DaemonSettings.SPECS));
      return;
    }
    DaemonSettings settings = DaemonSettings.from(values);
    if (!values.errors().isEmpty()) {
      values.errors().forEach(error -> System.err.println("dragonflyhilld: " + error));
      System.exit(EXIT_USAGE);
    }
    if (values.isPrintRequested()) {
      System.out.print(values.printableText());
      return;
    }
    Node node = new Node(settings, InstantSource.system());
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
    System.out.println(
        Json.write(new Listening(node.httpPort(), node.adminPort(), node.peerPort())));
    new CountDownLatch(1).await();
  }

  /**
   * Stops the node and halts the JVM with an exit status of its own. Without the halt, the JVM
   * would exit with the status for a termination signal, which counts as a failure.
   */
  private static void stop(Node node) {
    boolean isClean = node.stopGracefully();
    Runtime.getRuntime().halt(isClean ? 0 : EXIT_REQUESTS_ABORTED);
  }

  /**
   * JSON line that the program prints when its servers are listening.
   *
   * @param httpPort port for callers
   * @param adminPort port for operators
   * @param peerPort port for other nodes
   */
  private record Listening(int httpPort, int adminPort, int peerPort) {}
}
