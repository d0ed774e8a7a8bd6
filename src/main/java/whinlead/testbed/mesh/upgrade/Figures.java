package whinlead.testbed.mesh.upgrade;

/** Takes in what a run has measured. */
public interface Figures {
    /** A figure that nothing is promised of. */
    void figure(String name, double value);

    /** A figure that is to stay under a bound. */
    void under(String name, double value, double bound);
}
