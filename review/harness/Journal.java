import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what happens in a case, with the milliseconds since its start. */
final class Journal implements AutoCloseable {

  private final long start = System.nanoTime();
  private final PrintWriter out;

  Journal(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long millis() {
    return (System.nanoTime() - start) / 1_000_000;
  }

  /** Writes a line to the record only. */
  synchronized void note(String format, Object... values) {
    out.println(String.format("%7d ms  ", millis()) + String.format(format, values));
  }

  synchronized void say(String format, Object... values) {
    String text = String.format("%7d ms  ", millis()) + String.format(format, values);
    out.println(text);
    out.flush();
    System.out.println(text);
  }

  @Override
  public void close() {
    out.close();
  }
}
