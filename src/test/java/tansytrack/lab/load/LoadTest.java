package tansytrack.lab.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests rates, schedules, mixes, latency statistics, void (invalid) runs and retries. */
class LoadTest {

  private static final long NANOS_PER_SECOND = RateShape.NANOS_PER_SECOND;
  private static final TaskMix MIX =
      new TaskMix(
          List.of(new TaskMix.Weighted("a", 3), new TaskMix.Weighted("b", 1)),
          List.of(
              new TaskMix.ClassLoad("query", 9, 20, 0.5, 8, 0),
              new TaskMix.ClassLoad("load", 1, 200, 0, 64, 5)),
          100,
          1.1,
          10 * NANOS_PER_SECOND);

  private static List<Arrival> arrivalsOf(ArrivalSchedule schedule) {
    List<Arrival> arrivals = new ArrayList<>();
    schedule.forEachRemaining(arrivals::add);
    return arrivals;
  }

  @Test
  void shapesFollowTheirDefinition() {
    RateShape ramp = new RateShape.Ramp(10, 30, 5 * NANOS_PER_SECOND, 15 * NANOS_PER_SECOND);
    assertThat(
            List.of(
                ramp.rate(0), ramp.rate(10 * NANOS_PER_SECOND), ramp.rate(20 * NANOS_PER_SECOND)))
        .containsExactly(10.0, 20.0, 30.0);
    RateShape steps = new RateShape.Steps(List.of(1.0, 5.0, 2.0), 10 * NANOS_PER_SECOND);
    assertThat(
            List.of(
                steps.rate(0),
                steps.rate(10 * NANOS_PER_SECOND),
                steps.rate(99 * NANOS_PER_SECOND)))
        .containsExactly(1.0, 5.0, 2.0);
    RateShape bursts =
        new RateShape.Bursts(50, 10 * NANOS_PER_SECOND, 2 * NANOS_PER_SECOND, 3 * NANOS_PER_SECOND);
    assertThat(
            List.of(
                bursts.rate(0),
                bursts.rate(3 * NANOS_PER_SECOND),
                bursts.rate(5 * NANOS_PER_SECOND),
                bursts.rate(14 * NANOS_PER_SECOND)))
        .containsExactly(0.0, 50.0, 0.0, 50.0);
    RateShape wave = new RateShape.Wave(10, 90, 100 * NANOS_PER_SECOND);
    assertThat(wave.rate(0)).isCloseTo(10, within(1e-9));
    assertThat(wave.rate(50 * NANOS_PER_SECOND)).isCloseTo(90, within(1e-9));
    RateShape surge =
        new RateShape.Festival(
            10, 110, 10 * NANOS_PER_SECOND, 20 * NANOS_PER_SECOND, 5 * NANOS_PER_SECOND);
    assertThat(
            List.of(
                surge.rate(0),
                surge.rate(15 * NANOS_PER_SECOND),
                surge.rate(20 * NANOS_PER_SECOND),
                surge.rate(25 * NANOS_PER_SECOND)))
        .containsExactly(10.0, 35.0, 110.0, 60.0);
    RateShape onOff = new RateShape.OnOff(7, new long[] {NANOS_PER_SECOND, 3 * NANOS_PER_SECOND});
    assertThat(
            List.of(onOff.rate(0), onOff.rate(NANOS_PER_SECOND), onOff.rate(3 * NANOS_PER_SECOND)))
        .containsExactly(7.0, 0.0, 7.0);
    RateShape sum = new RateShape.Sum(List.of(ramp, bursts));
    assertThat(sum.rate(4 * NANOS_PER_SECOND)).isEqualTo(60);
    assertThat(new RateShape.Product(sum, new RateShape.Constant(2)).rate(4 * NANOS_PER_SECOND))
        .isEqualTo(120);
    for (RateShape shape : List.of(ramp, steps, bursts, wave, surge, onOff, sum)) {
      for (long at = 0; at < 100 * NANOS_PER_SECOND; at += NANOS_PER_SECOND / 4) {
        assertThat(shape.rate(at)).isBetween(0.0, shape.maxRate());
      }
    }
  }

  // For random arrivals, the standard deviation of the count is 88 in the whole schedule and 47 in
  // the bursts (Poisson, means 7800 and 2200). The tolerances 280 and 150 are 3.2 times as large.
  @ParameterizedTest
  @CsvSource({"true, 1", "false, 140"})
  void scheduleFollowsItsRate(boolean evenlySpaced, int halfTolerance) {
    RateShape shape =
        new RateShape.Sum(
            List.of(
                new RateShape.Ramp(0, 200, 0, 60 * NANOS_PER_SECOND),
                new RateShape.Bursts(300, 20 * NANOS_PER_SECOND, 2 * NANOS_PER_SECOND, 0)));
    List<Arrival> arrivals =
        arrivalsOf(new ArrivalSchedule(shape, MIX, 60 * NANOS_PER_SECOND, evenlySpaced, 5));
    assertThat(arrivals.size()).isCloseTo(6000 + 1800, within(halfTolerance * 2));
    for (int i = 1; i < arrivals.size(); i++) {
      assertThat(arrivals.get(i).atNanos())
          .isGreaterThanOrEqualTo(arrivals.get(i - 1).atNanos())
          .isLessThan(60 * NANOS_PER_SECOND);
    }
    long inBursts =
        arrivals.stream()
            .filter(arrival -> arrival.atNanos() % (20 * NANOS_PER_SECOND) < 2 * NANOS_PER_SECOND)
            .count();
    assertThat(inBursts).isCloseTo(1800 + 400, within(150L));
  }

  @Test
  void seedDeterminesTheSchedule() {
    RateShape shape = new RateShape.Constant(100);
    assertThat(arrivalsOf(new ArrivalSchedule(shape, MIX, 5 * NANOS_PER_SECOND, false, 1)))
        .isEqualTo(arrivalsOf(new ArrivalSchedule(shape, MIX, 5 * NANOS_PER_SECOND, false, 1)))
        .isNotEqualTo(arrivalsOf(new ArrivalSchedule(shape, MIX, 5 * NANOS_PER_SECOND, false, 2)));
    assertThat(
            new ArrivalSchedule(new RateShape.Constant(0), MIX, NANOS_PER_SECOND, false, 1)
                .hasNext())
        .isFalse();
  }

  @Test
  void mixFollowsWeightsZipfExponentAndMovingHotSet() {
    Map<String, Integer> counts = new HashMap<>();
    int[] drawsByDataSet = new int[100];
    double logSum = 0;
    int queries = 0;
    var random = RandomSource.XO_SHI_RO_256_PP.create(3);
    for (int i = 0; i < 20_000; i++) {
      Arrival arrival = MIX.draw(i, 0, random);
      counts.merge(arrival.tenant(), 1, Integer::sum);
      counts.merge(arrival.queryClass(), 1, Integer::sum);
      drawsByDataSet[arrival.dataSet()]++;
      assertThat(arrival.key())
          .isBetween(
              arrival.queryClass().equals("load") ? 1L : 0L,
              arrival.queryClass().equals("load") ? 5L : 0L);
      if (arrival.queryClass().equals("query")) {
        logSum += Math.log(arrival.costMs() / 20);
        queries++;
      }
    }
    assertThat(counts.get("a")).isCloseTo(15_000, within(300));
    assertThat(counts.get("load")).isCloseTo(2_000, within(200));
    assertThat(logSum / queries).isCloseTo(0, within(0.02));
    assertThat((double) drawsByDataSet[0] / drawsByDataSet[9])
        .isCloseTo(Math.pow(10, 1.1), within(3.0));
    int hottestSetDraws = 0;
    for (int i = 0; i < 2000; i++) {
      hottestSetDraws += MIX.draw(i, 35 * NANOS_PER_SECOND, random).dataSet() == 3 ? 1 : 0;
    }
    assertThat(hottestSetDraws)
        .as("the hottest set after 35 s")
        .isCloseTo(2000 * drawsByDataSet[0] / 20_000, within(120));
    assertThatThrownBy(() -> new TaskMix(List.of(), List.of(), 1, 1, 0))
        .hasMessageContaining("needs tenants");
  }

  @Test
  void stallRaisesLatencyAndNotServiceTime() {
    LatencyStatistics statistics = new LatencyStatistics();
    for (int i = 0; i < 100; i++) {
      Arrival arrival = new Arrival(i, i * NANOS_PER_SECOND / 10, "a", "query", 0, 1, 1, 0);
      // Nothing can be sent from second 2 to 6; the tasks of that time are sent at 6.
      long sent =
          arrival.atNanos() >= 2 * NANOS_PER_SECOND && arrival.atNanos() < 6 * NANOS_PER_SECOND
              ? 6 * NANOS_PER_SECOND
              : arrival.atNanos();
      boolean inTime = sent - arrival.atNanos() < NANOS_PER_SECOND;
      statistics.record(arrival, sent, sent + NANOS_PER_SECOND / 100, 1, inTime ? 1 : 0);
    }
    assertThat(statistics.service(100))
        .isCloseTo(NANOS_PER_SECOND / 100, within(NANOS_PER_SECOND / 1000));
    assertThat(statistics.latency(100))
        .isCloseTo(4 * NANOS_PER_SECOND + NANOS_PER_SECOND / 100, within(NANOS_PER_SECOND / 100));
    assertThat(statistics.latency(50))
        .isCloseTo(NANOS_PER_SECOND / 100, within(NANOS_PER_SECOND / 1000));
    assertThat(statistics.share()).isCloseTo(0.69, within(0.011));
    assertThat(statistics.worstShare(3)).isLessThan(0.05);
    assertThat(statistics.seconds().get(2L).latency(100)).isGreaterThan(3 * NANOS_PER_SECOND);
    assertThat(statistics.groups()).containsOnlyKeys("grade query", "tenant a");
  }

  @ParameterizedTest
  @CsvSource({"0, 0, false", "1, 0, false", "2, 0, true", "0, 1, true"})
  void lateGeneratorInvalidatesTheRun(int late, int unsent, boolean isVoid) {
    SendDelays delays = new SendDelays(NANOS_PER_SECOND / 100, 0.01);
    for (int i = 0; i < 100; i++) {
      delays.sent(
          i * NANOS_PER_SECOND,
          i * NANOS_PER_SECOND + (i < late ? NANOS_PER_SECOND / 10 : NANOS_PER_SECOND / 1000));
    }
    for (int i = 0; i < unsent; i++) {
      delays.unsent();
    }
    assertThat(delays.isVoid()).isEqualTo(isVoid);
    assertThat(delays.summary().contains("void")).isEqualTo(isVoid);
  }

  @ParameterizedTest
  @CsvSource({
    "53300, 'no room, after=250', 1, 0, 250",
    "53300, 'no room', 1, 0, 100",
    "53300, 'no room', 3, 0, 400",
    "53300, 'no room', 4, 0, -1",
    "58000, 'it may have run', 1, 0, -1",
    "57P03, 'after=', 1, 0, 100",
    "53300, 'after=250', 1, 2800, -1",
    "53300, 'after=99999999999', 1, 0, -1"
  })
  void retriesOnlyRejectionsWithinTheTimeout(
      String code, String text, int attempts, long elapsedMs, long expectedMs) {
    RetryBehaviour behaviour =
        new RetryBehaviour(3 * NANOS_PER_SECOND, 3, true, NANOS_PER_SECOND / 10, 2, 0);
    long delay =
        behaviour.retryDelayNanos(
            code, text, attempts, elapsedMs * 1_000_000, RandomSource.XO_SHI_RO_256_PP.create(1));
    assertThat(delay).isEqualTo(expectedMs < 0 ? -1 : expectedMs * 1_000_000);
  }
}
