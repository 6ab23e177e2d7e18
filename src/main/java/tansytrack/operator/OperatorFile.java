package tansytrack.operator;

import com.google.protobuf.Descriptors;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.TextFormat;
import com.google.protobuf.TextFormatParseInfoTree;
import com.google.protobuf.TextFormatParseLocation;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tansytrack.ledger.BillingPeriods;
import tansytrack.ledger.ClosingPolicy;
import tansytrack.ledger.Rates;
import tansytrack.operator.proto.Billing;
import tansytrack.operator.proto.Fleet;
import tansytrack.operator.proto.Ledger;
import tansytrack.operator.proto.Log;
import tansytrack.operator.proto.Operator;
import tansytrack.operator.proto.Peer;
import tansytrack.operator.proto.Quota;
import tansytrack.operator.proto.Rate;
import tansytrack.settings.InvalidInputException;

/**
 * The operators' file, read and checked; what it does not name is off. Errors name file, line,
 * column, field, what is allowed.
 */
public final class OperatorFile {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long NANOS_PER_HOUR = 3_600_000_000_000L;
  private static final int MAX_DECIMAL_LENGTH = 24;

  /** The ledger's section; times in nanoseconds. */
  public record LedgerSection(
      Path folder,
      boolean answersAfterCommit,
      boolean forwardsAfterCommit,
      boolean rejectsTasksWhenFull,
      long maxWaitNanos,
      long commitIntervalNanos,
      int maxUnwrittenLines,
      BillingPeriods periods,
      Rates rates,
      ClosingPolicy closingPolicy,
      List<TenantQuota> quotas,
      String billingText) {}

  /** Use in a period that is worth a warning; 0: no bound. */
  public record TenantQuota(String tenant, long tasks, long workNanos) {}

  /** The other managers; times in nanoseconds, addresses as they stand. */
  public record FleetSection(
      String name,
      String zone,
      String address,
      List<FleetPeer> peers,
      long probeIntervalNanos,
      int maxBytesPerSecond,
      long settleNanos) {}

  /** One of them. */
  public record FleetPeer(String name, String address, boolean seed) {}

  private final LedgerSection ledger;
  private final boolean jsonLines;
  private final FleetSection fleet;

  private OperatorFile(boolean jsonLines, LedgerSection ledger, FleetSection fleet) {
    this.jsonLines = jsonLines;
    this.ledger = ledger;
    this.fleet = fleet;
  }

  /** The section on the other managers, or null. */
  public FleetSection fleet() {
    return fleet;
  }

  /** The ledger's section, or null. */
  public LedgerSection ledger() {
    return ledger;
  }

  /** Are log lines JSON objects? */
  public boolean jsonLines() {
    return jsonLines;
  }

  /** Reads and checks a file on disk; an error names the file, the line and the column. */
  public static OperatorFile read(String file) {
    String text;
    try {
      text = Files.readString(Path.of(file), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new InvalidInputException(file + ": cannot be read: " + e);
    }
    return parse(file, text);
  }

  /** Checks the given text; the file's name is used in error messages alone. */
  public static OperatorFile parse(String file, String text) {
    Operator.Builder made = Operator.newBuilder();
    TextFormatParseInfoTree.Builder places = TextFormatParseInfoTree.builder();
    try {
      TextFormat.Parser.newBuilder().setParseInfoTreeBuilder(places).build().merge(text, made);
    } catch (TextFormat.ParseException e) {
      throw new InvalidInputException(file + ':' + e.getMessage());
    }
    Operator all = made.build();
    SourceLocation root = new SourceLocation(file, places.build());
    return new OperatorFile(
        all.getLog().getForm() == Log.Form.JSON_LINES,
        all.hasLedger()
            ? ledger(
                all.getLedger(), root.child(Operator.getDescriptor().findFieldByName("ledger"), 0))
            : null,
        all.hasFleet()
            ? fleet(
                all.getFleet(), root.child(Operator.getDescriptor().findFieldByName("fleet"), 0))
            : null);
  }

  /** Where a section stands, to name its fields by line and column. */
  private record SourceLocation(String file, TextFormatParseInfoTree tree) {

    SourceLocation child(FieldDescriptor field, int index) {
      return new SourceLocation(file, tree.getNestedTree(field, index));
    }

    InvalidInputException error(FieldDescriptor field, int index, Object value, String allowed) {
      List<TextFormatParseLocation> places = tree.getLocations(field);
      TextFormatParseLocation at = index < places.size() ? places.get(index) : null;
      String where = at == null ? "" : ":" + (at.getLine() + 1) + ':' + (at.getColumn() + 1);
      return new InvalidInputException(
          file
              + where
              + ": "
              + field.getName()
              + ": "
              + (where.isEmpty() ? "missing" : "'" + value + "'")
              + "; allowed: "
              + allowed);
    }
  }

  private static LedgerSection ledger(Ledger from, SourceLocation place) {
    if (from.getFolder().isBlank()) {
      throw place.error(
          field(Ledger.getDescriptor(), "folder"),
          0,
          from.getFolder(),
          "a folder on a disk that lasts");
    }
    int every =
        inRangeOrDefault(
            from.getCommitEveryMs(), 5, 1, 1000, Ledger.getDescriptor(), "commit_every_ms", place);
    int most =
        inRangeOrDefault(
            from.getMostUnwritten(),
            16384,
            64,
            1 << 20,
            Ledger.getDescriptor(),
            "most_unwritten",
            place);
    int wait =
        inRangeOrDefault(
            from.getMostWaitMs(), 100, 1, 10000, Ledger.getDescriptor(), "most_wait_ms", place);
    FieldDescriptor section = field(Ledger.getDescriptor(), "billing");
    SourceLocation billingPlace = from.hasBilling() ? place.child(section, 0) : place;
    Billing billing = from.getBilling();
    BillingPeriods periods = periods(billing, billingPlace);
    if (billing.getGraceHours() < 0) {
      throw billingPlace.error(
          field(Billing.getDescriptor(), "grace_hours"), 0, billing.getGraceHours(), "0 and more");
    }
    return new LedgerSection(
        Path.of(from.getFolder()),
        from.getAnswers() == Ledger.Wait.AFTER_COMMIT,
        from.getForwards() == Ledger.Wait.AFTER_COMMIT,
        from.getWhenFull() == Ledger.WhenFull.BOUNCE,
        wait * NANOS_PER_MS,
        every * NANOS_PER_MS,
        most,
        periods,
        rates(billing, from.getWaste() == Ledger.Waste.TENANT, billingPlace),
        new ClosingPolicy(periods, billing.getGraceHours() * NANOS_PER_HOUR),
        quotas(billing, billingPlace),
        TextFormat.printer().emittingSingleLine(true).printToString(billing)
            + " waste: "
            + from.getWaste());
  }

  private static List<TenantQuota> quotas(Billing billing, SourceLocation billingPlace) {
    List<TenantQuota> quotas = new ArrayList<>();
    for (int i = 0; i < billing.getQuotasCount(); i++) {
      Quota quota = billing.getQuotas(i);
      if (quota.getTasks() < 0 || quota.getWorkSeconds() < 0) {
        throw billingPlace.error(
            field(Billing.getDescriptor(), "quotas"), i, quota.getTenant(), "amounts from 0 on");
      }
      quotas.add(
          new TenantQuota(
              quota.getTenant(), quota.getTasks(), quota.getWorkSeconds() * 1_000_000_000L));
    }
    return quotas;
  }

  private static FleetSection fleet(Fleet from, SourceLocation place) {
    Descriptors.Descriptor section = Fleet.getDescriptor();
    Set<String> names = new HashSet<>();
    Set<String> addresses = new HashSet<>();
    if (!from.getName().isEmpty()) {
      names.add(checkedName(from.getName(), section, place));
    }
    addresses.add(checkedAddress(from.getAddress(), section, place));
    List<FleetPeer> peers = new ArrayList<>();
    for (int i = 0; i < from.getPeersCount(); i++) {
      Peer peer = from.getPeers(i);
      SourceLocation at = place.child(field(section, "peers"), i);
      if (!names.add(checkedName(peer.getName(), Peer.getDescriptor(), at))) {
        throw at.error(
            field(Peer.getDescriptor(), "name"),
            0,
            peer.getName(),
            "each manager once, this one left out");
      }
      if (!addresses.add(checkedAddress(peer.getAddress(), Peer.getDescriptor(), at))) {
        throw at.error(
            field(Peer.getDescriptor(), "address"),
            0,
            peer.getAddress(),
            "an address of its own for each manager");
      }
      peers.add(new FleetPeer(peer.getName(), peer.getAddress(), peer.getSeed()));
    }
    if (peers.isEmpty()) {
      throw place.error(field(section, "peers"), 0, "", "one and more");
    }
    return new FleetSection(
        from.getName(),
        from.getPlace(),
        from.getAddress(),
        List.copyOf(peers),
        inRangeOrDefault(from.getProbeEveryMs(), 500, 100, 10_000, section, "probe_every_ms", place)
            * NANOS_PER_MS,
        inRangeOrDefault(
            from.getMostBytesASecond(),
            16_384,
            2048,
            1 << 20,
            section,
            "most_bytes_a_second",
            place),
        inRangeOrDefault(from.getSettleS(), 30, 1, 3600, section, "settle_s", place)
            * 1000L
            * NANOS_PER_MS);
  }

  private static String checkedName(String name, Descriptors.Descriptor of, SourceLocation place) {
    if (!name.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,47}")) {
      throw place.error(
          field(of, "name"),
          0,
          name,
          "1 to 48 of letters, digits, '.', '_' and '-', a letter or digit first");
    }
    return name;
  }

  private static String checkedAddress(
      String text, Descriptors.Descriptor of, SourceLocation place) {
    boolean form = text.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}");
    boolean range =
        form
            && Arrays.stream(text.substring(0, text.indexOf(':')).split("\\."))
                .mapToInt(Integer::parseInt)
                .allMatch(one -> one < 256)
            && Integer.parseInt(text.substring(text.indexOf(':') + 1)) < 65536;
    if (!range) {
      throw place.error(
          field(of, "address"), 0, text, "an IPv4 address with a port, as in 10.0.0.7:7946");
    }
    return text;
  }

  private static FieldDescriptor field(Descriptors.Descriptor of, String name) {
    return of.findFieldByName(name);
  }

  private static int inRangeOrDefault(
      int value,
      int otherwise,
      int least,
      int most,
      Descriptors.Descriptor of,
      String name,
      SourceLocation place) {
    if (value != 0 && (value < least || value > most)) {
      throw place.error(field(of, name), 0, value, least + " to " + most);
    }
    return value == 0 ? otherwise : value;
  }

  private static BillingPeriods periods(Billing billing, SourceLocation place) {
    try {
      BillingPeriods.Length length = BillingPeriods.Length.valueOf(billing.getPeriod().name());
      return new BillingPeriods(
          length, ZoneId.of(billing.getZone().isEmpty() ? "UTC" : billing.getZone()));
    } catch (DateTimeException e) {
      throw place.error(
          field(Billing.getDescriptor(), "zone"),
          0,
          billing.getZone(),
          "an IANA time zone, as in Asia/Kolkata");
    } catch (IllegalArgumentException e) {
      throw place.error(
          field(Billing.getDescriptor(), "period"), 0, billing.getPeriod(), "MONTH, WEEK, DAY");
    }
  }

  private static Rates rates(Billing billing, boolean wasteBilled, SourceLocation place) {
    int decimals = billing.hasDecimals() ? billing.getDecimals() : 2;
    if (decimals < 0 || decimals > 9) {
      throw place.error(field(Billing.getDescriptor(), "decimals"), 0, decimals, "0 to 9");
    }
    RoundingMode rounding =
        switch (billing.getRounding()) {
          case HALF_UP -> RoundingMode.HALF_UP;
          case UP -> RoundingMode.UP;
          case DOWN -> RoundingMode.DOWN;
          default -> RoundingMode.HALF_EVEN;
        };
    List<Rates.Rate> rates = new ArrayList<>();
    for (int i = 0; i < billing.getRatesCount(); i++) {
      Rate rate = billing.getRates(i);
      SourceLocation at = place.child(field(Billing.getDescriptor(), "rates"), i);
      LocalDate from;
      try {
        from = rate.getFromDate().isEmpty() ? LocalDate.EPOCH : LocalDate.parse(rate.getFromDate());
      } catch (DateTimeException e) {
        throw at.error(
            field(Rate.getDescriptor(), "from_date"),
            0,
            rate.getFromDate(),
            "a day, as in 2026-12-01");
      }
      Rates.Rate made =
          new Rates.Rate(
              rate.getTenant(),
              rate.getGrade(),
              from,
              price(rate.getPerTask(), "per_task", at),
              price(rate.getPerWorkSecond(), "per_work_second", at),
              price(rate.getPerGbSecond(), "per_gb_second", at),
              price(rate.getPerMbReturned(), "per_mb_returned", at));
      for (Rates.Rate other : rates) {
        if (other.tenant().equals(made.tenant())
            && other.grade().equals(made.grade())
            && other.validFrom().equals(made.validFrom())) {
          throw place.error(
              field(Billing.getDescriptor(), "rates"),
              i,
              rate.getTenant() + '/' + rate.getGrade() + " from " + from,
              "one rate for a tenant, grade and day");
        }
      }
      rates.add(made);
    }
    return new Rates(List.copyOf(rates), decimals, rounding, wasteBilled);
  }

  private static BigDecimal price(String text, String name, SourceLocation place) {
    if (text.isEmpty()) {
      return BigDecimal.ZERO;
    }
    if (text.length() <= MAX_DECIMAL_LENGTH && text.matches("[0-9]+(\\.[0-9]+)?")) {
      return new BigDecimal(text);
    }
    throw place.error(
        field(Rate.getDescriptor(), name), 0, text, "a plain decimal from 0 on, as in \"0.0125\"");
  }
}
