package tansytrack.policy;

import java.util.Collection;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import tansytrack.api.EngineEntry;
import tansytrack.api.Settings;

/**
 * Rule 4: limits what this manager sends to engines that have started lately (slow start). All
 * managers together must not send a cold engine more than a budget within any window, although they
 * do not talk to each other. The budget is kept both in work and in requests of mean work. Each
 * manager may always send an even share of it; where a share is less than one request, random
 * permits admit single requests. The reasons for the design are in docs/design.md. Times are in
 * nanoseconds.
 *
 * <p>The engine list tells start times by a clock that may differ from this manager's by any
 * amount, so the budget does not depend on them: an engine counts as started when this manager was
 * first told of its present process. A start time serves to tell processes apart, and for estimates
 * of capacity that no rule depends on.
 */
public final class SlowStart {

  // The part of a cold engine's budget that is used; the rest allows for errors of estimation.
  private static final double BUDGET_FRACTION = 0.9;
  // How many standard deviations are kept free where the sum over all managers depends on chance.
  private static final double SAFETY_DEVIATIONS = 4;
  // The excess that the rule tolerates: this many square roots of the number of requests, plus this
  // many requests.
  private static final double TOLERANCE = 2;

  private static final SentRequest NOT_COUNTED = now -> {};

  // Null where engines are never cold.
  private final Settings.ColdStartLimit limit;
  // The time by which the arrivals of requests sent at the same time may differ.
  private final long maxDelayNanos;
  private final boolean arrivalsReported;
  private final SplittableRandom random;
  private final Map<String, EngineRecord> records = new TreeMap<>();
  // The time of the first engine list, or -1.
  private long firstListAt = -1;
  private long nextEvictionAt;
  private final MeanCost meanCost = new MeanCost();

  /**
   * Creates the limits of one manager.
   *
   * @param arrivalsReported whether requests are confirmed when an engine has received them; else
   *     they count as received when they are sent
   */
  public SlowStart(Settings settings, boolean arrivalsReported, SplittableRandom random) {
    limit = settings.coldStartLimit();
    maxDelayNanos = arrivalsReported ? settings.capabilities().connectTimeoutNanos() : 0;
    this.arrivalsReported = arrivalsReported;
    this.random = random;
  }

  /** Takes over the entries of an engine list. */
  public void onEngineList(long now, Collection<EngineEntry> entries) {
    firstListAt = firstListAt < 0 ? now : firstListAt;
    for (EngineEntry entry : entries) {
      if (entry.startedAtNanos() != 0 && entry.state() != EngineEntry.State.GONE && limit != null) {
        engine(now, entry.id()).onListing(now, entry.startedAtNanos());
      }
    }
  }

  /** Takes note of the cost of a task that was accepted. */
  public void onTask(double cost) {
    meanCost.add(cost);
  }

  /** Tells whether a listed engine is certainly warm. */
  public boolean isWarm(long now, EngineEntry entry) {
    EngineRecord record = records.get(entry.id());
    return record == null || !record.mayBeCold(now);
  }

  /** Returns the fraction of its capacity that an engine started at that time has by now. */
  private double capacityOfStart(long now, long startedAt) {
    if (limit == null || startedAt == 0 || now - startedAt >= limit.warmUpNanos()) {
      return 1;
    }
    double age = Math.max(0, now - startedAt) / (double) limit.warmUpNanos();
    return limit.startCapacityFraction() + (1 - limit.startCapacityFraction()) * age;
  }

  /** Returns the record of an engine. */
  public EngineRecord engine(long now, String id) {
    return records.computeIfAbsent(id, key -> new EngineRecord(now));
  }

  /**
   * Removes the records of engines that have not been listed for so long that their requests do not
   * count any more. An engine may be listed again shortly after it was gone.
   *
   * @param inUse tells whether an engine is listed or still has open requests
   */
  public void evictUnused(long now, Predicate<String> inUse) {
    if (limit == null || now < nextEvictionAt) {
      return;
    }
    nextEvictionAt = now + limit.windowNanos();
    for (Map.Entry<String, EngineRecord> entry : records.entrySet()) {
      if (inUse.test(entry.getKey())) {
        entry.getValue().lastUsedAt = now;
      }
    }
    records.values().removeIf(record -> now - record.lastUsedAt > limit.warmUpNanos());
  }

  /** The window within which the budget is counted; 0 where engines are never cold. */
  public long windowNanos() {
    return limit == null ? 0 : limit.windowNanos();
  }

  /**
   * Returns an upper bound on the managers that use an engine, as their number varies by chance,
   * with outdated lists, and with indexes that are unknown or held by two managers.
   *
   * @param managers the number of all managers
   * @param expected the expected number of those that use the engine
   */
  public static double maxManagers(int managers, double expected) {
    return Math.min(managers, expected + SAFETY_DEVIATIONS * Math.sqrt(expected));
  }

  /** A request that was sent to an engine. */
  public interface SentRequest {
    /** Takes note that the engine has received the request, or will not receive it any more. */
    void confirm(long now);
  }

  /** The start of one engine, and what this manager has sent to it lately. */
  public final class EngineRecord {
    private final RequestWindow requests = new RequestWindow();
    // The start time of the present process, by the clock of the list; 0 if it was long ago.
    private long listedStart;
    // When this manager was first told of the present process; 0 if that started long ago.
    private long firstListedAt;
    private long unreachableAt;
    // A permit is drawn once per window, and so much later that requests of two permits do not
    // arrive within one. It lets this manager send a request that exceeds its even
    // share, if it has sent none within the window.
    private long permitUntil;
    private double permitDraw;
    private long lastUsedAt;

    private EngineRecord(long now) {
      lastUsedAt = now;
    }

    /** Takes over the start time of a list; another one means another process. */
    private void onListing(long now, long startedAt) {
      if (startedAt != listedStart) {
        listedStart = startedAt;
        firstListedAt = now;
        unreachableAt = 0;
        requests.onNewProcess(maxDelayNanos);
      }
    }

    /** Takes note that the engine could not be reached: it may have restarted. */
    public void onUnreachable(long now) {
      unreachableAt = now;
    }

    /**
     * Records a request that is sent to the engine now. It counts also before it arrives, and if
     * the engine turns out later to have restarted before.
     */
    public SentRequest onSent(long now, double cost) {
      if (limit == null) {
        return NOT_COUNTED;
      }
      requests.evictBefore(now - windowNanos());
      return arrivalsReported ? requests.addUnconfirmed(now, cost) : requests.add(now, cost);
    }

    /**
     * Returns an estimate of the fraction of its capacity that the engine has by now. A start time
     * that lies in the future is not believed, nor is one by which an engine is warm when this
     * manager has just seen it start.
     */
    public double capacityFraction(long now) {
      boolean seenToStart = firstListedAt > firstListAt;
      boolean implausible =
          listedStart > firstListedAt
              || (seenToStart && capacityOfStart(firstListedAt, listedStart) >= 1);
      long estimatedStart = implausible ? firstListedAt : listedStart;
      return capacityOfStart(now, Math.max(estimatedStart, unreachableAt));
    }

    /** Tells whether the engine may be cold, as far as this manager can know. */
    public boolean mayBeCold(long now) {
      return minCapacityFraction(now) < 1;
    }

    /** Returns the fraction of its capacity that the engine has at least. */
    private double minCapacityFraction(long now) {
      return capacityOfStart(now, latestStart());
    }

    /** Returns the latest time at which the present process may have started. */
    private long latestStart() {
      return Math.max(firstListedAt, unreachableAt);
    }

    /** Returns the number of requests in the present window. */
    public int recentRequests(long now) {
      requests.evictBefore(now - windowNanos());
      return requests.count();
    }

    /** Returns the work of the requests in the present window. */
    public double recentWork(long now) {
      requests.evictBefore(now - windowNanos());
      return requests.work();
    }

    /**
     * Tells whether a request is within this manager's even share of what the engine may get, or,
     * where the share is too small for it, whether a random permit admits it.
     */
    public boolean allows(long now, double cost, double cores, double managers) {
      if (!mayBeCold(now)) {
        return true;
      }
      double share = evenShare(now, cores, managers);
      boolean withinWork = countedWork(now) + cost <= share;
      boolean withinNumber =
          share > 0 && countedRequests(now) + 1 <= evenNumber(now, cores, managers);
      boolean withinShare = withinWork && (withinNumber || !toldOfStart(now));
      return withinShare
          || (countedRequests(now) == 0 && permitChance(now, cost, cores, managers) > 0);
    }

    /**
     * Tells whether the list has told of a start within the warm-up time. The rule binds from then
     * on. An engine that could not be reached may have restarted before the list tells; until it
     * does, the budget is a precaution, which takes the work that was sent since.
     */
    private boolean toldOfStart(long now) {
      return capacityOfStart(now, firstListedAt) < 1;
    }

    private double countedWork(long now) {
      return toldOfStart(now) ? recentWork(now) : requests.workSentSince(precautionStart(now));
    }

    private int countedRequests(long now) {
      return toldOfStart(now) ? recentRequests(now) : requests.countSentSince(precautionStart(now));
    }

    private long precautionStart(long now) {
      return Math.max(unreachableAt, now - windowNanos());
    }

    /** Tells whether a request exceeds the even share, so that it needs a permit. */
    public boolean needsPermit(long now, double cost, double cores, double managers) {
      return mayBeCold(now) && charge(now, cost) > evenShare(now, cores, managers);
    }

    /**
     * Returns the work that this manager may always send. Where that is less than one request of
     * mean work, it is left to permits, or half of it as long as the number does not count.
     */
    private double evenShare(long now, double cores, double managers) {
      double share = budget(now, cores) / managers;
      if (meanCost.estimate() <= share) {
        return share;
      }
      return toldOfStart(now) ? 0 : share / 2;
    }

    /**
     * Returns the number of requests that this manager may always send. Unlike their work, the
     * number that all managers send does not depend on chance, so it may use the excess that the
     * rule tolerates.
     */
    private double evenNumber(long now, double cores, double managers) {
      double allowed = budget(now, cores) / BUDGET_FRACTION / meanCost.estimate();
      double tolerated = allowed + TOLERANCE * (Math.sqrt(allowed) + 1);
      return BUDGET_FRACTION * tolerated / managers;
    }

    /** Returns what a single request takes of the budget, in work and as a request. */
    private double charge(long now, double cost) {
      return toldOfStart(now) ? Math.max(cost, meanCost.estimate()) : cost;
    }

    /**
     * Returns the work that all managers together may send to the engine within a window. It grows
     * over the first window of this process where the engine was listed by then, because an earlier
     * process of this manager may have sent requests to it.
     */
    private double budget(long now, double cores) {
      long window = limit.windowNanos();
      double knownFraction =
          latestStart() >= firstListAt + window
              ? 1
              : Math.min(1, (now - firstListAt) / (double) window);
      return BUDGET_FRACTION
          * limit.overloadFactor()
          * minCapacityFraction(now)
          * cores
          * window
          * knownFraction;
    }

    /**
     * Returns the probability of a permit for a request that exceeds the even share; 0 where the
     * random draw of this window gave none.
     */
    public double permitChance(long now, double cost, double cores, double managers) {
      if (now >= permitUntil) {
        permitUntil = now + limit.windowNanos() + maxDelayNanos;
        permitDraw = random.nextDouble();
      }
      double budget = budget(now, cores);
      // For all managers: what the even shares leave, plus the tolerated excess, and at most what
      // the engine can execute.
      double mean = meanCost.estimate();
      double tolerance = TOLERANCE * (Math.sqrt(budget * mean) + mean);
      double totalWork = budget - evenShare(now, cores, managers) * managers + tolerance;
      // Solves work + SAFETY_DEVIATIONS * sqrt(work * charge) = totalWork for sqrt(work): the
      // second term is the margin for the number of permits, which depends on chance.
      double charge = charge(now, cost);
      double rootMargin = SAFETY_DEVIATIONS * Math.sqrt(charge) / 2;
      double rootWork = Math.sqrt(totalWork + rootMargin * rootMargin) - rootMargin;
      double work = Math.min(rootWork * rootWork, budget / limit.overloadFactor());
      double probability = work / (managers * charge);
      return permitDraw < probability ? Math.min(1, probability) : 0;
    }
  }
}
