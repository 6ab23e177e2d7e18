package tansytrack.util;

/** 64-bit hashes that are the same in every process and version. */
public final class StableHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  private StableHash() {}

  /** FNV-1a over the characters. */
  public static long of(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  /** A hash with two numbers. */
  public static long of(long hash, long first, int second) {
    return mix(hash + mix(first * GOLDEN_GAMMA + second));
  }

  /** The finalizer of SplitMix64: every bit of the result depends on all bits. */
  public static long mix(long bits) {
    long once = (bits ^ bits >>> 30) * 0xbf58476d1ce4e5b9L;
    long twice = (once ^ once >>> 27) * 0x94d049bb133111ebL;
    return twice ^ twice >>> 31;
  }
}
