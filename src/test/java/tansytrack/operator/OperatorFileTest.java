package tansytrack.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansytrack.settings.InvalidInputException;

/** The operators' file: what it gives, and how its faults are said. */
class OperatorFileTest {

  @Test
  void anAbsentSectionIsOffAndAbsentFieldsHaveTheirDefaults() {
    assertThat(OperatorFile.parse("f", "# nothing\n").ledger()).isNull();
    OperatorFile.LedgerSection ledger = OperatorFile.parse("f", "ledger { folder: 'x' }").ledger();
    assertThat(ledger.answersAfterCommit()).isFalse();
    assertThat(ledger.commitIntervalNanos()).isEqualTo(5_000_000);
    assertThat(ledger.maxUnwrittenLines()).isEqualTo(16384);
    assertThat(ledger.rates().decimals()).isEqualTo(2);
    assertThat(ledger.periods().periodAt(0)).isEqualTo("1970-01");
  }

  @Test
  void aFleetHasItsPeersAndDefaults() {
    assertThat(OperatorFile.parse("f", "log { }").fleet()).isNull();
    OperatorFile.FleetSection fleet =
        OperatorFile.parse(
                "f",
                "fleet { place: 'p' address: '10.0.0.1:7' peers { name: 'a' address: '10.0.0.2:7'"
                    + " seed: true } peers { name: 'b' address: '10.0.0.3:7' } }")
            .fleet();
    assertThat(fleet.peers())
        .containsExactly(
            new OperatorFile.FleetPeer("a", "10.0.0.2:7", true),
            new OperatorFile.FleetPeer("b", "10.0.0.3:7", false));
    assertThat(fleet.probeIntervalNanos()).isEqualTo(500_000_000L);
    assertThat(fleet.settleNanos()).isEqualTo(30_000_000_000L);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "ledger { | f:",
        "ledger { fodler: 'x' } | f:1:",
        "ledger { } | folder: missing; allowed: a folder",
        "ledger {@ folder: ' ' } | f:2:",
        "ledger { folder: 'x'@  commit_every_ms: 2000 } | f:2:3: commit_every_ms: '2000'; allowed:"
            + " 1 to 1000",
        "ledger { folder: 'x' most_unwritten: -1 } | most_unwritten: '-1'; allowed: 64 to 1048576",
        "ledger { folder: 'x' answers: SOON } | f:1:",
        "ledger { folder: 'x' billing {@@ zone: 'Mars/Base' } } | f:3:2: zone: 'Mars/Base';"
            + " allowed: an IANA time zone",
        "ledger { folder: 'x' billing { decimals: 12 } } | decimals: '12'; allowed: 0 to 9",
        "ledger { folder: 'x' billing { grace_hours: -2 } } | grace_hours: '-2'",
        "ledger { folder: 'x' billing { rates { per_task: '1e3' } } } | per_task: '1e3'; allowed: a"
            + " plain decimal",
        "ledger { folder: 'x' billing { rates { per_task: '-1' } } } | per_task: '-1'",
        "ledger { folder: 'x' billing { rates { from_date: 'soon' } } } | from_date: 'soon';"
            + " allowed: a day",
        "ledger { folder: 'x' billing { rates { tenant: 'a' } rates { tenant: 'a' } } } | one rate"
            + " for a tenant",
        "fleet { } | address: missing; allowed: an IPv4 address",
        "fleet { address: 'host:1' } | address: 'host:1'; allowed: an IPv4 address with a port",
        "fleet { address: '10.0.0.256:1' } | '10.0.0.256:1'",
        "fleet { address: '10.0.0.1:7' } | peers: missing; allowed: one and more",
        "fleet { address: '10.0.0.1:7'@ peers { name: 'a b' address: '10.0.0.2:7' } } | f:2:10:"
            + " name: 'a b'; allowed: 1 to 48 of letters",
        "fleet { address: '10.0.0.1:7' peers { name: 'a' address: '10.0.0.1:7' } } | an address of"
            + " its own for each manager",
        "fleet { name: 'a' address: '10.0.0.1:7' peers { name: 'a' address: '10.0.0.2:7' } } |"
            + " name: 'a'; allowed: each manager once",
        "fleet { address: '10.0.0.1:7' probe_every_ms: 5 peers { name: 'a' address: '10.0.0.2:7' }"
            + " } | probe_every_ms: '5'; allowed: 100 to 10000"
      })
  void aFaultNamesPlaceFieldValueAndWhatIsAllowed(String text, String said) {
    assertThatThrownBy(() -> OperatorFile.parse("f", text.replace('@', '\n')))
        .isInstanceOf(InvalidInputException.class)
        .hasMessageContaining(said)
        .hasMessageStartingWith("f:");
  }

  @Test
  void aFileThatCannotBeReadIsNamed() {
    assertThatThrownBy(() -> OperatorFile.read("/nowhere/at/all"))
        .isInstanceOf(InvalidInputException.class)
        .hasMessageContaining("/nowhere/at/all");
  }
}
