package org.dragonflyhill.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import org.dragonflyhill.standins.slopes.Fit;
import org.testng.annotations.Test;

/** Tests of {@link Fit}. */
public final class FitTest {

  @Test
  public void findsLineThroughPoints() {
    Fit fit = Fit.of(List.of(new Fit.Point(1, 5), new Fit.Point(2, 7), new Fit.Point(4, 11)));
    assertEquals(fit.slope(), 2, 1e-9);
    assertEquals(fit.at(10), 23, 1e-9);
  }

  @Test
  public void refusesPointsOfOneSize() {
    List<Fit.Point> points = List.of(new Fit.Point(1, 5), new Fit.Point(1, 7));
    assertThrows(IllegalArgumentException.class, () -> Fit.of(points));
  }
}
