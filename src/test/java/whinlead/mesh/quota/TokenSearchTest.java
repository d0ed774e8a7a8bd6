package whinlead.mesh.quota;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** The order in which a search asks control nodes, and the return of tokens that arrive too late. */
public class TokenSearchTest {
    private static final List<String> CONTROL_NODES = List.of("a", "b", "c");
    private static final QuotaAllowance DEEP = new QuotaAllowance(100, 100, 0);
    private static final QuotaAllowance SHALLOW = new QuotaAllowance(4, 10, 0);

    /** Records the actions of a search. */
    private static final class Recorder implements TokenSearch.Actions {
        private final List<String> events = new ArrayList<>();

        @Override
        public void requestToken(String controlNode) {
            events.add("ask " + controlNode);
        }

        @Override
        public void granted() {
            events.add("granted");
        }

        @Override
        public void returnToken(String controlNode) {
            events.add("surplus " + controlNode);
        }

        @Override
        public void denied(double waitMs) {
            events.add("denied " + (int) waitMs);
        }

        @Override
        public void cancelled() {
            events.add("cancelled");
        }
    }

    private final Recorder recorder = new Recorder();

    private TokenSearch begin(QuotaAllowance allowance) {
        recorder.events.clear();
        TokenSearch search = new TokenSearch(CONTROL_NODES, allowance, recorder);
        search.begin();
        return search;
    }

    @Test
    public void nodesWithDeepBucketsAreAskedOneAfterAnother() {
        TokenSearch search = begin(DEEP);
        search.onAnswer("a", false, 30);
        search.onAnswer("b", true, 0);
        assertEquals(recorder.events, List.of("ask a", "ask b", "granted"));
    }

    @Test
    public void twoNodesWithShallowBucketsAreAskedAtOnceAndTheSurplusTokenIsReturned() {
        TokenSearch search = begin(SHALLOW);
        search.onAnswer("b", true, 0);
        search.onAnswer("a", true, 0);
        assertEquals(recorder.events, List.of("ask a", "ask b", "granted", "surplus a"));
    }

    @Test
    public void tokenThatArrivesAfterTheTimeLimitIsReturned() {
        TokenSearch search = begin(DEEP);
        search.hedge();
        search.end();
        search.onAnswer("b", true, 0);
        search.onAnswer("a", false, 10);
        assertEquals(recorder.events, List.of("ask a", "ask b", "denied 0", "surplus b"));
    }

    @Test
    public void searchEndsWithTheShortestWaitOnceAllNodesHaveRefused() {
        TokenSearch search = begin(DEEP);
        search.onAnswer("a", false, 40);
        search.onAnswer("b", false, 20);
        search.onAnswer("c", false, 30);
        assertEquals(recorder.events, List.of("ask a", "ask b", "ask c", "denied 20"));
    }
}
