package whinlead.replication.raft;

import io.microraft.persistence.RaftStore;
import java.io.IOException;

/** What a member writes to a disk. For one thread. */
public interface MemberDisk extends RaftStore {
    /** The log has lost its beginning: whatever is written may be written anew from what is held now. */
    void shortened(LogMirror held) throws IOException;
}
