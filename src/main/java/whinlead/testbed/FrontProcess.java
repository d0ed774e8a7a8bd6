package whinlead.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;

/** A process that clients connect to, on loopback; closing it ends the process. */
interface FrontProcess extends AutoCloseable {
    /** Where it listens. */
    InetSocketAddress address();

    @Override
    void close() throws IOException;
}
