package whinlead.testbed.replication;

import whinlead.consult.Peer;

/** A simulated proxy, by its name in the network and as processes see it. */
record SimProxy(String name, Peer peer) {
    /** The proxy of this name. */
    static SimProxy named(String name) {
        return new SimProxy(name, new Peer(true, name));
    }
}
