package whinlead.testbed.mesh.hardening;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.testbed.mesh.hardening.Operation.Change;
import whinlead.testbed.mesh.hardening.Operation.End;
import whinlead.testbed.mesh.hardening.Operation.Value;

/** Tests which histories are linearizable as one register with compare-and-set. */
public class LinearizabilityTest {
    private List<Operation> history;

    @BeforeMethod
    public void createHistory() {
        history = new ArrayList<>();
    }

    private Operation call(double from, double to, long version, long builtOn, String digest, End end) {
        Operation o = new Operation(new Change(version, builtOn, digest), from, to, end, null);
        history.add(o);
        return o;
    }

    private Operation read(double from, double to, long version, String digest) {
        Operation o = new Operation(null, from, to, End.READ, new Value(version, digest));
        history.add(o);
        return o;
    }

    private void assertLinearizable() {
        assertNull(Linearizability.unexplained(history));
    }

    private void assertUnexplained(Operation o) {
        assertEquals(Linearizability.unexplained(history), o);
    }

    @Test
    public void sequentialCallsAreExplained() {
        read(0, 1, 0, "");
        call(1, 2, 1, 0, "x", End.TAKEN);
        call(3, 4, 2, 1, "y", End.TAKEN);
        read(5, 6, 2, "y");
        assertLinearizable();
    }

    @Test
    public void twoChangesOnOneBaseAreNeverBothTaken() {
        call(1, 5, 1, 0, "x", End.TAKEN);
        assertUnexplained(call(2, 6, 2, 0, "y", End.TAKEN));
    }

    @Test
    public void twoChangesWithOneNumberAreNeverBothTaken() {
        call(1, 5, 3, 0, "x", End.TAKEN);
        assertUnexplained(call(2, 6, 3, 0, "y", End.TAKEN));
    }

    @Test
    public void oneOfTwoConcurrentChangesIsRefused() {
        call(1, 5, 1, 0, "x", End.TAKEN);
        call(2, 3, 1, 0, "y", End.MISMATCH);
        assertLinearizable();
    }

    @Test
    public void refusalBeforeTheOtherChangeBeganIsUnexplained() {
        Operation o = call(1, 2, 1, 0, "y", End.MISMATCH);
        call(3, 5, 1, 0, "x", End.TAKEN);
        assertUnexplained(o);
    }

    @Test
    public void readMayNotReturnOlderValue() {
        call(1, 2, 1, 0, "x", End.TAKEN);
        assertUnexplained(read(3, 4, 0, ""));
    }

    @Test
    public void concurrentReadMayReturnEitherValue() {
        call(1, 10, 1, 0, "x", End.TAKEN);
        read(2, 3, 0, "");
        read(4, 5, 1, "x");
        assertLinearizable();
    }

    @Test
    public void sequentialReadsDuringAChangeMayNotGoBack() {
        call(1, 10, 1, 0, "x", End.TAKEN);
        read(2, 3, 1, "x");
        assertUnexplained(read(4, 5, 0, ""));
    }

    @Test
    public void unclearCallMayTakeEffectMuchLater() {
        call(1, Double.POSITIVE_INFINITY, 1, 0, "x", End.UNCLEAR);
        read(5, 6, 0, "");
        read(100, 101, 1, "x");
        read(102, 103, 1, "x");
        assertLinearizable();
    }

    @Test
    public void unclearCallMayNotTakeEffectBeforeItBegan() {
        Operation o = read(1, 2, 1, "x");
        call(3, Double.POSITIVE_INFINITY, 1, 0, "x", End.UNCLEAR);
        assertUnexplained(o);
    }

    @Test
    public void unclearCallHasNoEffectAfterAnotherChangeOnItsBase() {
        call(1, Double.POSITIVE_INFINITY, 1, 0, "x", End.UNCLEAR);
        call(2, 3, 2, 0, "y", End.TAKEN);
        assertUnexplained(read(4, 5, 1, "x"));
    }

    @Test
    public void chainOfUnclearCallsIsFollowed() {
        call(1, Double.POSITIVE_INFINITY, 1, 0, "x", End.UNCLEAR);
        call(2, Double.POSITIVE_INFINITY, 2, 1, "y", End.UNCLEAR);
        call(3, Double.POSITIVE_INFINITY, 2, 1, "z", End.UNCLEAR);
        call(4, 5, 3, 2, "w", End.TAKEN);
        read(6, 7, 3, "w");
        assertLinearizable();
    }

    @Test
    public void repeatedCallIsTakenAgain() {
        call(1, 2, 1, 0, "x", End.TAKEN);
        call(3, 4, 2, 1, "y", End.TAKEN);
        call(5, 6, 1, 0, "x", End.TAKEN);
        call(7, 8, 1, 0, "x", End.UNCLEAR);
        read(9, 10, 2, "y");
        assertLinearizable();
    }

    @Test
    public void repeatedCallIsNeverRefused() {
        call(1, 2, 1, 0, "x", End.TAKEN);
        call(3, 4, 2, 1, "y", End.TAKEN);
        assertUnexplained(call(5, 6, 1, 0, "x", End.MISMATCH));
    }

    @Test
    public void repeatOfUnclearCallWithoutEffectMayBeRefused() {
        call(1, Double.POSITIVE_INFINITY, 1, 0, "x", End.UNCLEAR);
        call(3, 4, 2, 0, "y", End.TAKEN);
        call(5, 6, 1, 0, "x", End.MISMATCH);
        assertLinearizable();
    }

    @Test
    public void lowerNumberIsOldOnlyOnTheCurrentBase() {
        call(1, 2, 4, 0, "x", End.TAKEN);
        call(3, 4, 4, 4, "y", End.OLD);
        assertLinearizable();
        assertUnexplained(call(5, 6, 3, 2, "y", End.OLD));
    }

    @Test
    public void acknowledgedChangeMayNotBeLost() {
        call(1, 2, 1, 0, "x", End.TAKEN);
        assertUnexplained(call(3, 4, 2, 0, "y", End.TAKEN));
    }

    @Test
    public void answersThatNeedDifferentHistoriesAreUnexplained() {
        call(1, Double.POSITIVE_INFINITY, 1, 0, "x", End.UNCLEAR);
        call(1, Double.POSITIVE_INFINITY, 1, 0, "y", End.UNCLEAR);
        read(2, 3, 1, "x");
        assertUnexplained(read(4, 5, 1, "y"));
    }
}
