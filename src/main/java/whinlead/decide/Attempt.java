package whinlead.decide;

/** One attempt of a request at one server, linked into the list of attempts in flight at that server. */
final class Attempt {
    final Call call;
    final Node node;
    final double sentAtMs;
    boolean inFlight = true;
    // Whether a later attempt at this server was served, and whether one of the same class was; how many later
    // attempts were served far faster.
    boolean laterServed;
    boolean laterOfClassServed;
    int overtakes;
    Attempt older;
    Attempt newer;

    Attempt(Call call, Node node, double sentAtMs) {
        this.call = call;
        this.node = node;
        this.sentAtMs = sentAtMs;
    }
}
