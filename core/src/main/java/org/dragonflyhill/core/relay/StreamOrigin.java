package org.dragonflyhill.core.relay;

/**
 * Where a stream began. What the software versions of a service write does not fit together, so a
 * stream goes on at runners of the same version only. Immutable; no component is null.
 *
 * @param service name of the service
 * @param softwareVersion version of the software of the runner that began it, an opaque name
 * @param organisation name of the organisation that the stream belongs to, empty if none
 */
public record StreamOrigin(String service, String softwareVersion, String organisation) {}
