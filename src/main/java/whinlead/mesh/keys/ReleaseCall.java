package whinlead.mesh.keys;

/** The endpoint is to run nothing of these keys any more. */
public record ReleaseCall(KeyRange range, long fence) {}
