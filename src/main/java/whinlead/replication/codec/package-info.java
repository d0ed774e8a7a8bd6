/**
 * Encoding and decoding of commands, replies and MicroRaft's messages as protobuf ({@code copies.proto}). Thread-safe.
 */
package whinlead.replication.codec;
