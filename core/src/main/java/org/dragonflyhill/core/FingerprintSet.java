package org.dragonflyhill.core;

import java.util.Arrays;

/**
 * A compact hash set of 64-bit fingerprints, for indexes with millions of entries.
 *
 * <p>It uses open addressing with linear probing and does not hash the fingerprints again, so their
 * low bits must be uniformly distributed. Not thread-safe.
 */
final class FingerprintSet {

  private static final int MIN_CAPACITY = 16;

  /** Marks an empty slot. Fingerprint 0 is stored as 1, so the set treats 0 and 1 as equal. */
  private static final long EMPTY = 0;

  private long[] table = new long[MIN_CAPACITY];
  private int size;

  /** Adds a fingerprint. Returns true if it was absent. */
  boolean add(long fingerprint) {
    long key = key(fingerprint);
    int slot = find(key);
    if (table[slot] == key) {
      return false;
    }
    table[slot] = key;
    size++;
    if (size > table.length / 4 * 3) {
      resize(table.length * 2);
    }
    return true;
  }

  /** Removes a fingerprint. Returns true if it was present. */
  boolean remove(long fingerprint) {
    int slot = find(key(fingerprint));
    if (table[slot] == EMPTY) {
      return false;
    }
    table[slot] = EMPTY;
    size--;
    shiftBack(slot);
    return true;
  }

  /** Returns whether the set contains a fingerprint. */
  boolean contains(long fingerprint) {
    return table[find(key(fingerprint))] != EMPTY;
  }

  /** Returns the number of fingerprints. */
  int size() {
    return size;
  }

  /**
   * Moves later entries of the probe sequence into the emptied slot, so that they are still found.
   */
  private void shiftBack(int removedSlot) {
    int mask = table.length - 1;
    int gap = removedSlot;
    int slot = (gap + 1) & mask;
    while (table[slot] != EMPTY) {
      int homeSlot = homeSlot(table[slot]);
      if (((slot - homeSlot) & mask) >= ((slot - gap) & mask)) {
        table[gap] = table[slot];
        table[slot] = EMPTY;
        gap = slot;
      }
      slot = (slot + 1) & mask;
    }
  }

  private int find(long key) {
    int slot = homeSlot(key);
    while (table[slot] != EMPTY && table[slot] != key) {
      slot = (slot + 1) & (table.length - 1);
    }
    return slot;
  }

  private int homeSlot(long key) {
    return (int) key & (table.length - 1);
  }

  private void resize(int capacity) {
    long[] keys = Arrays.stream(table).filter(key -> key != EMPTY).toArray();
    table = new long[capacity];
    for (long key : keys) {
      table[find(key)] = key;
    }
  }

  private static long key(long fingerprint) {
    return fingerprint == EMPTY ? 1 : fingerprint;
  }
}
