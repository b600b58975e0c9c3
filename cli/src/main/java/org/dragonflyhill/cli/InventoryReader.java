package org.dragonflyhill.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.core.ConfigurationValidator;
import org.dragonflyhill.core.ObjectKey;
import org.dragonflyhill.ports.Json;

/**
 * Reads an inventory file, YAML or JSON, and reports all its errors at once.
 *
 * <pre>{@code
 * InventoryReader.Result result = InventoryReader.read("inventory.yaml", text);
 * }</pre>
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
final class InventoryReader {

  /** Sections of the file and the types of their entries. */
  private static final List<Section> SECTIONS =
      List.of(
          new Section("availability_zones", ConfigurationObject.AvailabilityZone.class),
          new Section("organisations", ConfigurationObject.Organisation.class),
          new Section("models", ConfigurationObject.Model.class),
          new Section("runners", ConfigurationObject.Runner.class),
          new Section("stores", ConfigurationObject.Store.class),
          new Section("services", ConfigurationObject.Service.class),
          new Section("applications", ConfigurationObject.Application.class),
          new Section("rules", ConfigurationObject.Rule.class));

  private static final PropertyNamingStrategies.SnakeCaseStrategy FIELD_NAMING =
      new PropertyNamingStrategies.SnakeCaseStrategy();

  private final String file;
  private final List<ConfigurationObject> objects = new ArrayList<>();
  private final List<String> errors = new ArrayList<>();

  private InventoryReader(String file) {
    this.file = file;
  }

  /**
   * Reads an inventory.
   *
   * @param file name of the file, for error messages
   * @param text content of the file
   */
  static Result read(String file, String text) {
    InventoryReader reader = new InventoryReader(file);
    reader.read(text);
    return new Result(reader.objects, reader.errors);
  }

  private void read(String text) {
    JsonNode root;
    try {
      root = new YAMLMapper().readTree(text);
    } catch (JsonProcessingException e) {
      errors.add(file + ": not valid YAML or JSON: " + e.getOriginalMessage());
      return;
    }
    if (!root.isObject()) {
      errors.add(file + ": expected a mapping of sections");
      return;
    }
    Set<String> unknown = new HashSet<>();
    root.fieldNames().forEachRemaining(unknown::add);
    for (Section section : SECTIONS) {
      unknown.remove(section.name());
      readSection(section, root.path(section.name()));
    }
    unknown.stream().sorted().forEach(name -> addError(name, root.get(name), "no such section"));
    if (errors.isEmpty()) {
      checkReferences();
    }
  }

  private void readSection(Section section, JsonNode entries) {
    if (entries.isMissingNode()) {
      return;
    }
    if (!entries.isArray()) {
      addError(section.name(), entries, "expected a list");
      return;
    }
    for (int i = 0; i < entries.size(); i++) {
      readEntry(section, section.name() + "[" + i + "]", entries.get(i));
    }
  }

  private void readEntry(Section section, String path, JsonNode entry) {
    int errorsBefore = errors.size();
    checkRecord(section.type(), path, entry);
    if (errors.size() > errorsBefore) {
      return;
    }
    ObjectNode withKind = entry.deepCopy();
    withKind.put(
        "kind",
        section.type().getSimpleName().replaceAll("(?<=.)([A-Z])", "_$1").toLowerCase(Locale.ROOT));
    Json.read(withKind.toString(), ConfigurationObject.class)
        .peek(objects::add)
        .peekLeft(message -> addError(path, entry, message));
  }

  private void checkRecord(Class<?> type, String path, JsonNode entry) {
    if (!entry.isObject()) {
      addError(path, entry, "expected a mapping");
      return;
    }
    Set<String> unknown = new HashSet<>();
    entry.fieldNames().forEachRemaining(unknown::add);
    for (RecordComponent component : type.getRecordComponents()) {
      String name = FIELD_NAMING.translate(component.getName());
      unknown.remove(name);
      checkValue(component.getGenericType(), path + "." + name, entry.path(name));
    }
    unknown.stream()
        .sorted()
        .forEach(name -> addError(path + "." + name, entry.get(name), "no such field"));
  }

  private void checkValue(Type type, String path, JsonNode value) {
    if (value.isMissingNode() || value.isNull()) {
      errors.add(file + ": " + path + ": missing, expected " + describe(type));
    } else if (type instanceof ParameterizedType list) {
      checkList(list.getActualTypeArguments()[0], path, value);
    } else if (type instanceof Class<?> raw && raw.isRecord()) {
      checkRecord(raw, path, value);
    } else if (!hasType(type, value)) {
      addError(path, value, "expected " + describe(type));
    }
  }

  private void checkList(Type elementType, String path, JsonNode value) {
    if (!value.isArray()) {
      addError(path, value, "expected a list");
      return;
    }
    for (int i = 0; i < value.size(); i++) {
      checkValue(elementType, path + "[" + i + "]", value.get(i));
    }
  }

  private static boolean hasType(Type type, JsonNode value) {
    if (type == int.class) {
      return value.isIntegralNumber() && value.canConvertToInt();
    }
    if (type == long.class) {
      return value.isIntegralNumber() && value.canConvertToLong();
    }
    if (type == double.class) {
      return value.isNumber();
    }
    if (type == boolean.class) {
      return value.isBoolean();
    }
    if (type instanceof Class<?> raw && raw.isEnum()) {
      return constants(raw).contains(value.asText());
    }
    return value.isTextual();
  }

  private static String describe(Type type) {
    if (type == int.class || type == long.class) {
      return "a whole number";
    }
    if (type == double.class) {
      return "a number";
    }
    if (type == boolean.class) {
      return "true or false";
    }
    if (type instanceof ParameterizedType) {
      return "a list";
    }
    if (type instanceof Class<?> raw && raw.isEnum()) {
      return "one of " + String.join(", ", constants(raw));
    }
    return "a string";
  }

  private static List<String> constants(Class<?> type) {
    return Arrays.stream(type.getEnumConstants()).map(String::valueOf).toList();
  }

  private void checkReferences() {
    Map<ObjectKey, ConfigurationState.VersionedObject> byKey = new TreeMap<>();
    for (ConfigurationObject object : objects) {
      if (byKey.put(object.key(), new ConfigurationState.VersionedObject(object, 0)) != null) {
        errors.add(file + ": " + object.key() + ": defined more than once");
      }
    }
    ConfigurationValidator.validate(byKey).forEach(error -> errors.add(file + ": " + error));
  }

  private void addError(String path, JsonNode value, String problem) {
    String text = value.toString();
    String shortened = text.length() <= 80 ? text : text.substring(0, 80) + "...";
    errors.add(file + ": " + path + ": " + shortened + ": " + problem);
  }

  private record Section(String name, Class<? extends ConfigurationObject> type) {}

  /**
   * Result of reading an inventory.
   *
   * @param objects the objects; incomplete if there are errors
   * @param errors descriptions of the errors, with the file, path and value and what was expected
   */
  record Result(List<ConfigurationObject> objects, List<String> errors) {}
}
