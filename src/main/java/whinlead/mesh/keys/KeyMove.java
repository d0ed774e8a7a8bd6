package whinlead.mesh.keys;

/** A planned move of keys from one node to another. */
public record KeyMove(KeyRange range, String fromNode, String toNode) {}
