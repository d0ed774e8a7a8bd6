package whinlead.mesh.keys;

/** The load of a range of keys in requests a second. */
public record KeyLoad(KeyRange range, double perSecond) {}
