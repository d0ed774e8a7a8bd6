package whinlead.decide;

import whinlead.Contract;

/** Actions that do nothing; tests override those that they observe. */
public abstract class NoActions implements Contract.Actions {
    @Override
    public void send(Contract.Request request, String server, double timeoutMs) {}

    @Override
    public void cancel(Contract.Request request, int attempt) {}

    @Override
    public void refuse(Contract.Request request, double retryAfter) {}

    @Override
    public void fail(Contract.Request request) {}

    @Override
    public void probe(String server) {}

    @Override
    public void watchServers() {}

    @Override
    public void sendToPeers(byte[] text) {}

    @Override
    public void log(String line) {}
}
