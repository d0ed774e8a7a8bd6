package whinlead.mesh.keys;

/** Keys that are to go from one node to another. */
public record KeyMove(KeyRange range, String from, String to) {}
