import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the time since the start. */
final class Journal implements AutoCloseable {

  private final long start = System.nanoTime();
  private final PrintWriter out;

  Journal(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double seconds() {
    return (System.nanoTime() - start) / 1e9;
  }

  synchronized void line(String format, Object... values) {
    out.printf(Locale.ROOT, "%8.3f  ", seconds());
    out.println(format.formatted(values));
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
