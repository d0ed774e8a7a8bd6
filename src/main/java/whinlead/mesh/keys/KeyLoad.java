package whinlead.mesh.keys;

/** How many requests a second come for keys of a range. */
public record KeyLoad(KeyRange range, double perSecond) {}
