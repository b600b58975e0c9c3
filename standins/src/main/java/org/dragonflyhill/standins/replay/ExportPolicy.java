package org.dragonflyhill.standins.replay;

/** Which pieces are exported to a store once computed. Variants are stateless. */
public sealed interface ExportPolicy {

  /** Returns whether to export a piece that so many stores hold, over a link with such a wait. */
  boolean shouldExport(int copies, long linkWaitMicros);

  /** Exports nothing. */
  record NoExport() implements ExportPolicy {
    @Override
    public boolean shouldExport(int copies, long linkWaitMicros) {
      return false;
    }
  }

  /**
   * Exports what no store holds while the link has time for it, and a second copy while the link is
   * all but idle.
   */
  record TwoCopies() implements ExportPolicy {
    private static final long MAX_FIRST_COPY_LINK_WAIT_MICROS = 500_000;
    private static final long MAX_SECOND_COPY_LINK_WAIT_MICROS = 100_000;

    @Override
    public boolean shouldExport(int copies, long linkWaitMicros) {
      return switch (copies) {
        case 0 -> linkWaitMicros < MAX_FIRST_COPY_LINK_WAIT_MICROS;
        case 1 -> linkWaitMicros < MAX_SECOND_COPY_LINK_WAIT_MICROS;
        default -> false;
      };
    }
  }
}
