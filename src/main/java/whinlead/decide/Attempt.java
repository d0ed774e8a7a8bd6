package whinlead.decide;

/** One attempt of a request at one server, in the list of those out there. */
final class Attempt {
    final Call call;
    final Node node;
    final double sentAt;
    boolean out = true;
    // Whether any sent there later was served, and any of its own class; how many of those were far faster.
    boolean passed;
    boolean passedByOwn;
    int overtaken;
    Attempt older;
    Attempt newer;

    Attempt(Call call, Node node, double sentAt) {
        this.call = call;
        this.node = node;
        this.sentAt = sentAt;
    }
}
