package tansytrack.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansytrack.api.Settings;

class PairsTest {

  private static Settings settings(String... all) {
    SettingsParser pairs = new SettingsParser();
    for (String pair : all) {
      pairs.put(pair);
    }
    return pairs.toSettings(1);
  }

  @ParameterizedTest
  @CsvSource({"siblings=4, -1", "position=0, 0", "position=3, 3", "position=-, -1"})
  void thePositionIsUnknownWhereItIsNotTold(String pair, int position) {
    assertThat(settings(pair).managerIndex()).isEqualTo(position);
  }

  @Test
  void thePositionOutlastsANewSeed() {
    assertThat(settings("position=3").withSeed(9).managerIndex()).isEqualTo(3);
  }

  @Test
  void aPositionUnderZeroIsNamed() {
    assertThatThrownBy(() -> settings("position=-2")).hasMessageContaining("settings.position");
  }
}
