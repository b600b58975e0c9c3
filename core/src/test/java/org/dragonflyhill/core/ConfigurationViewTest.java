package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.List;
import java.util.TreeMap;
import org.dragonflyhill.core.ConfigurationObject.Organisation;
import org.dragonflyhill.core.ConfigurationObject.Rule;
import org.dragonflyhill.core.ConfigurationObject.Urgency;
import org.testng.annotations.Test;

/** Tests of {@link ConfigurationView}. */
public final class ConfigurationViewTest {

  private static ConfigurationView view(ConfigurationObject... objects) {
    var byKey = new TreeMap<ObjectKey, ConfigurationState.VersionedObject>();
    for (ConfigurationObject object : objects) {
      byKey.put(object.key(), new ConfigurationState.VersionedObject(object, 0));
    }
    return ConfigurationView.of(new ConfigurationState(0, 0, byKey, List.of()));
  }

  @Test
  public void findsOrganisationByEachOfItsKeys() {
    var organisation = new Organisation("granja", List.of("aa", "bb"), 1, 1);
    assertEquals(view(organisation).organisationByKeyHash("bb").orElseThrow(), organisation);
    assertFalse(view(organisation).organisationByKeyHash("cc").isPresent());
  }

  @Test
  public void firstRuleOfTaskByNameWins() {
    var first = new Rule("a", "alert", Urgency.URGENT, true, 1, 1, 1);
    var second = new Rule("b", "alert", Urgency.ORDINARY, true, 1, 1, 1);
    assertEquals(view(second, first).ruleOf("alert").orElseThrow(), first);
  }
}
