package whinlead.replication.raft;

import io.microraft.persistence.RaftStore;
import java.io.IOException;

/** Persistent storage of a member's log. Not thread-safe. */
public interface MemberDisk extends RaftStore {
    /** The beginning of the log was truncated: the storage may be rewritten from the mirror's current content. */
    void logTruncated(LogMirror mirror) throws IOException;
}
