/** Commands, replies and MicroRaft's messages as protobuf and back ({@code copies.proto}). Any thread. */
package whinlead.replication.codec;
