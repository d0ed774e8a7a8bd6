package whinlead.mesh.keys;

/** A call that tells the endpoint to stop running requests for these keys. */
public record ReleaseCall(KeyRange range, long fence) {}
