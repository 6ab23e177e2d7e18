package tansytrack.wire;

/** A peer said what its protocol does not allow. */
public final class Junk extends Exception {
    private static final long serialVersionUID = 1L;

    public Junk(String what) {
        super(what, null, false, false);
    }
}
