package org.dragonflyhill.standins.replay;

/** Decides which computed pieces are exported to a store. Implementations are stateless. */
public sealed interface ExportPolicy {

  /**
   * Returns whether to export a piece to a store.
   *
   * @param copies number of stores that already hold the piece
   * @param linkWaitMicros wait for the link of the store
   */
  boolean shouldExport(int copies, long linkWaitMicros);

  /** Never exports. */
  record NoExport() implements ExportPolicy {
    @Override
    public boolean shouldExport(int copies, long linkWaitMicros) {
      return false;
    }
  }

  /**
   * Exports up to two copies of a piece: the first while the wait for the link is moderate, the
   * second only while the link is nearly idle.
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
