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

/** Rates, schedules, mixes, latency statistics, void runs and retries. */
class LoadTest {

  private static final long S = Shape.SECOND;
  private static final Mix MIX =
      new Mix(
          List.of(new Mix.Weighted("a", 3), new Mix.Weighted("b", 1)),
          List.of(
              new Mix.GradeLoad("query", 9, 20, 0.5, 8, 0),
              new Mix.GradeLoad("load", 1, 200, 0, 64, 5)),
          100,
          1.1,
          10 * S);

  private static List<Arrival> all(Schedule schedule) {
    List<Arrival> arrivals = new ArrayList<>();
    schedule.forEachRemaining(arrivals::add);
    return arrivals;
  }

  @Test
  void shapesAreWhatTheySay() {
    Shape ramp = new Shape.Ramp(10, 30, 5 * S, 15 * S);
    assertThat(List.of(ramp.rate(0), ramp.rate(10 * S), ramp.rate(20 * S)))
        .containsExactly(10.0, 20.0, 30.0);
    Shape steps = new Shape.Steps(List.of(1.0, 5.0, 2.0), 10 * S);
    assertThat(List.of(steps.rate(0), steps.rate(10 * S), steps.rate(99 * S)))
        .containsExactly(1.0, 5.0, 2.0);
    Shape bursts = new Shape.Bursts(50, 10 * S, 2 * S, 3 * S);
    assertThat(List.of(bursts.rate(0), bursts.rate(3 * S), bursts.rate(5 * S), bursts.rate(14 * S)))
        .containsExactly(0.0, 50.0, 0.0, 50.0);
    Shape wave = new Shape.Wave(10, 90, 100 * S);
    assertThat(wave.rate(0)).isCloseTo(10, within(1e-9));
    assertThat(wave.rate(50 * S)).isCloseTo(90, within(1e-9));
    Shape festival = new Shape.Festival(10, 110, 10 * S, 20 * S, 5 * S);
    assertThat(
            List.of(
                festival.rate(0),
                festival.rate(15 * S),
                festival.rate(20 * S),
                festival.rate(25 * S)))
        .containsExactly(10.0, 35.0, 110.0, 60.0);
    Shape onOff = new Shape.OnOff(7, new long[] {S, 3 * S});
    assertThat(List.of(onOff.rate(0), onOff.rate(S), onOff.rate(3 * S)))
        .containsExactly(7.0, 0.0, 7.0);
    Shape sum = new Shape.Sum(List.of(ramp, bursts));
    assertThat(sum.rate(4 * S)).isEqualTo(60);
    assertThat(new Shape.Product(sum, new Shape.Constant(2)).rate(4 * S)).isEqualTo(120);
    for (Shape one : List.of(ramp, steps, bursts, wave, festival, onOff, sum)) {
      for (long at = 0; at < 100 * S; at += S / 4) {
        assertThat(one.rate(at)).isBetween(0.0, one.most());
      }
    }
  }

  @ParameterizedTest
  @CsvSource({"true, 1", "false, 140"})
  void aScheduleBringsWhatItsShapeIntends(boolean even, int tolerance) {
    Shape shape =
        new Shape.Sum(
            List.of(new Shape.Ramp(0, 200, 0, 60 * S), new Shape.Bursts(300, 20 * S, 2 * S, 0)));
    List<Arrival> arrivals = all(new Schedule(shape, MIX, 60 * S, even, 5));
    assertThat(arrivals.size()).isCloseTo(6000 + 1800, within(tolerance * 2));
    for (int i = 1; i < arrivals.size(); i++) {
      assertThat(arrivals.get(i).at()).isGreaterThanOrEqualTo(arrivals.get(i - 1).at()).isLessThan(60 * S);
    }
    long inBursts = arrivals.stream().filter(one -> one.at() % (20 * S) < 2 * S).count();
    assertThat(inBursts).isCloseTo(1800 + 400, within(150L));
  }

  @Test
  void theSameSeedGivesTheSameScheduleAndAnotherAnother() {
    Shape shape = new Shape.Constant(100);
    assertThat(all(new Schedule(shape, MIX, 5 * S, false, 1)))
        .isEqualTo(all(new Schedule(shape, MIX, 5 * S, false, 1)))
        .isNotEqualTo(all(new Schedule(shape, MIX, 5 * S, false, 2)));
    assertThat(new Schedule(new Shape.Constant(0), MIX, S, false, 1).hasNext()).isFalse();
  }

  @Test
  void aMixHasItsWeightsItsTailAndAHotEndThatMoves() {
    Map<String, Integer> counts = new HashMap<>();
    int[] sets = new int[100];
    double logSum = 0;
    int queries = 0;
    var random = RandomSource.XO_SHI_RO_256_PP.create(3);
    for (int i = 0; i < 20_000; i++) {
      Arrival arrival = MIX.draw(i, 0, random);
      counts.merge(arrival.tenant(), 1, Integer::sum);
      counts.merge(arrival.grade(), 1, Integer::sum);
      sets[arrival.dataSet()]++;
      assertThat(arrival.key())
          .isBetween(arrival.grade().equals("load") ? 1L : 0L, arrival.grade().equals("load") ? 5L : 0L);
      if (arrival.grade().equals("query")) {
        logSum += Math.log(arrival.costMs() / 20);
        queries++;
      }
    }
    assertThat(counts.get("a")).isCloseTo(15_000, within(300));
    assertThat(counts.get("load")).isCloseTo(2_000, within(200));
    assertThat(logSum / queries).isCloseTo(0, within(0.02));
    assertThat((double) sets[0] / sets[9]).isCloseTo(Math.pow(10, 1.1), within(3.0));
    int moved = 0;
    for (int i = 0; i < 2000; i++) {
      moved += MIX.draw(i, 35 * S, random).dataSet() == 3 ? 1 : 0;
    }
    assertThat(moved)
        .as("the hottest set after 35 s")
        .isCloseTo(2000 * sets[0] / 20_000, within(120));
    assertThatThrownBy(() -> new Mix(List.of(), List.of(), 1, 1, 0))
        .hasMessageContaining("needs tenants");
  }

  @Test
  void aStallShowsAsLongLatencyThoughServiceTimesStayShort() {
    Latencies statistics = new Latencies();
    for (int i = 0; i < 100; i++) {
      Arrival arrival = new Arrival(i, i * S / 10, "a", "query", 0, 1, 1, 0);
      // Nothing can be sent from second 2 to 6; the tasks of that time are sent at 6.
      long sent = arrival.at() >= 2 * S && arrival.at() < 6 * S ? 6 * S : arrival.at();
      boolean inTime = sent - arrival.at() < S;
      statistics.over(arrival, sent, sent + S / 100, 1, inTime ? 1 : 0);
    }
    assertThat(statistics.service(100)).isCloseTo(S / 100, within(S / 1000));
    assertThat(statistics.latency(100)).isCloseTo(4 * S + S / 100, within(S / 100));
    assertThat(statistics.latency(50)).isCloseTo(S / 100, within(S / 1000));
    assertThat(statistics.share()).isCloseTo(0.69, within(0.011));
    assertThat(statistics.worstShare(3)).isLessThan(0.05);
    assertThat(statistics.seconds().get(2L).latency(100)).isGreaterThan(3 * S);
    assertThat(statistics.groups()).containsOnlyKeys("grade query", "tenant a");
  }

  @ParameterizedTest
  @CsvSource({"0, 0, false", "1, 0, false", "2, 0, true", "0, 1, true"})
  void aGeneratorThatFallsBehindMakesTheRunVoid(int late, int unsent, boolean isVoid) {
    Punctuality delays = new Punctuality(S / 100, 0.01);
    for (int i = 0; i < 100; i++) {
      delays.sent(i * S, i * S + (i < late ? S / 10 : S / 1000));
    }
    for (int i = 0; i < unsent; i++) {
      delays.unsent();
    }
    assertThat(delays.isVoid()).isEqualTo(isVoid);
    assertThat(delays.said().contains("void")).isEqualTo(isVoid);
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
  void aClientTriesAgainOnlyWhereThatIsHarmlessAndItStillWaits(
      String code, String text, int attempts, long elapsedMs, long expectedMs) {
    Behaviour behaviour = new Behaviour(3 * S, 3, true, S / 10, 2, 0);
    long delay =
        behaviour.pause(
            code, text, attempts, elapsedMs * 1_000_000, RandomSource.XO_SHI_RO_256_PP.create(1));
    assertThat(delay).isEqualTo(expectedMs < 0 ? -1 : expectedMs * 1_000_000);
  }
}
